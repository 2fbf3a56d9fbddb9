"""Keeps turns and ledgers on the disk of a host, and agrees on the disks in use."""
