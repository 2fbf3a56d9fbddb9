"""Coordination parts of a scheduler for agent programs."""

__version__ = "0.1.0"
