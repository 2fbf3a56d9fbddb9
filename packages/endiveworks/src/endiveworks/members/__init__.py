"""Hosts of the deployment: leases, incarnations and direct signals."""
