"""Decisions about the prefixes that engines cache for programs."""
