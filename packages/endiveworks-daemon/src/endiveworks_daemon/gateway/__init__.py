"""HTTP gateway: receives the requests of callers and forwards them to replicas."""
