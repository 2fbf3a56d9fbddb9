"""Turns and token ledgers of programs, replicated on several disks without a leader."""
