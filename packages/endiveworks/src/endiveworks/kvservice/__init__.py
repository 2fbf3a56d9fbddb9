"""Client of the key-value service and of the host list that the platform provides."""
