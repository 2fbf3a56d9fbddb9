"""Executes dispatched calls next to an upstream, each attempt at most once."""
