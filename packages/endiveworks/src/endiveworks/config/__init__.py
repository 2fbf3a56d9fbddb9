"""Service files, the configuration bundle made from them, and its adoption."""
