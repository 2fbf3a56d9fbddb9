"""Stand-ins for scripts of this review: store, replicas, callers and the platform."""
