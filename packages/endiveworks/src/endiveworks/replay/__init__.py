"""Replay of recorded traces through the decision functions, against a model of the engines."""
