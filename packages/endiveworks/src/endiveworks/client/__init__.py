"""Client library for callers that run agent programs on a deployment."""
