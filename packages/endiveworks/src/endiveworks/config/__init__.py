"""Service files, the configuration bundle built from them, and its distribution."""
