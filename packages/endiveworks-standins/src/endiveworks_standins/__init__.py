"""Stand-ins for the platform and upstreams."""
