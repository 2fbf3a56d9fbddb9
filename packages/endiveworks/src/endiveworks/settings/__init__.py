"""Settings from command-line flags and environment variables."""
