"""Selects the upstream that runs a call."""
