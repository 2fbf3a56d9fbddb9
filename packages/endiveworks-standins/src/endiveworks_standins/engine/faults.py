"""Faults that a test can inject."""

from typing import NamedTuple


class Faults(NamedTuple):
    """Injected faults.

    Attributes:
        cut_after_events: Number of events after which the next streams are closed; 0 for never.
        cut_streams: Number of further streams to close.
        hang_streams: Number of further requests that are accepted but never produce an event.
        extra_tokens: Completion tokens reported in addition to those generated.
        stall_s: Duration of a single stall of all steps, in seconds.
        freeze_load: Whether the load report is no longer updated.
        lose_events: Whether cache events are lost.
        restart: Closes every stream and drops the cache, once.
    """

    cut_after_events: int = 0
    cut_streams: int = 0
    hang_streams: int = 0
    extra_tokens: int = 0
    stall_s: float = 0.0
    freeze_load: bool = False
    lose_events: bool = False
    restart: bool = False
