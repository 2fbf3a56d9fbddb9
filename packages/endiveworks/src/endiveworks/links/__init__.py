"""Thrift connections between processes: servers, clients, retries and bandwidth limits."""
