"""Thrift messages between the processes of a deployment."""
