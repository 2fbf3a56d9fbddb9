"""Client of a deployment for the callers of agent programs."""
