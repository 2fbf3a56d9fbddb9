"""Turns of programs and their token ledgers, kept on several disks without an owner."""
