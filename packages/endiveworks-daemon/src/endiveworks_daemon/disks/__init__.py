"""Stores turns and ledgers on a host's disk and manages the view of the disks in use."""
