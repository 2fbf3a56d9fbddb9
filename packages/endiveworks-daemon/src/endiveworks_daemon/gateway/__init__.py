"""Serves callers: takes their requests and passes them on to replicas."""
