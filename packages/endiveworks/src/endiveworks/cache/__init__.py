"""Prefix cache that engines hold for programs."""
