"""The operator's command."""
