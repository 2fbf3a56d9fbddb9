"""Execution of dispatched calls beside an upstream, each attempt at most once."""
