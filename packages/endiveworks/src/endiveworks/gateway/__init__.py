"""Routing decisions for forwarded requests: route, queue order, rejection and replica choice."""
