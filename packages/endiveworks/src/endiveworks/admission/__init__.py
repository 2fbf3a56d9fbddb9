"""Admission control before an upstream: queueing, concurrency limits, refusal and preemption."""
