"""Write-ahead logs of partitions, replicated to other hosts."""
