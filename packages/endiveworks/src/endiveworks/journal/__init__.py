"""Append-only logs of partitions and their copies on other hosts."""
