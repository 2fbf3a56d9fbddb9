"""Partitions of the program space and the host that owns each."""
