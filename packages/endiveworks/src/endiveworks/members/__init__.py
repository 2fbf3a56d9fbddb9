"""Membership: host registrations with leases and incarnations, and detection of failed hosts."""
