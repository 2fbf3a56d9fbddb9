"""Connections between processes: servers, clients and their liveness rule."""
