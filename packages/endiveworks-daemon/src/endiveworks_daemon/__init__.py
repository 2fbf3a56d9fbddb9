"""The entry and upstream processes of a deployment."""
