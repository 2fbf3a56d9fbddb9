"""Adapters of model engines and plain services."""
