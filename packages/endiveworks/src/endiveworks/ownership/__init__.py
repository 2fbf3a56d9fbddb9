"""Ownership of partitions: the table of owners, its changes and the placement of copies."""
