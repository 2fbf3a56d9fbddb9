"""Faults that a test can switch on."""

from typing import NamedTuple


class Faults(NamedTuple):
    """Faults in force.

    Attributes:
        cut_after_events: Closes the next streams after this many events; 0 for never.
        cut_streams: How many further streams are cut.
        hang_streams: How many further requests are accepted and never get an event.
        extra_tokens: Completion tokens reported above those generated.
        stall_s: Stops all steps for this long, once.
        freeze_load: Whether the load report keeps its present content.
        lose_events: Whether cache events are lost.
        restart: Drops every stream and the cache, once.
    """

    cut_after_events: int = 0
    cut_streams: int = 0
    hang_streams: int = 0
    extra_tokens: int = 0
    stall_s: float = 0.0
    freeze_load: bool = False
    lose_events: bool = False
    restart: bool = False
