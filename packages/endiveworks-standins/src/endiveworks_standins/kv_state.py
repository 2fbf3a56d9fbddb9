"""What the key-value stand-in holds: its store, the faults in force and its counters."""

import threading
from collections import Counter
from typing import NamedTuple

from .kv_store import Store


class Faults(NamedTuple):
    """Faults in force.

    Attributes:
        down: Whether connections are cut without an answer, waiting watches included.
        delay_ms: Wait before each call is handled, in milliseconds.
        lose_answers: How many of the next writes take effect but lose their answer.
        silent_watches: Whether watches open now, and new ones, go silent for good.
        hosts_lag_ms: Age of the host list that is served, in milliseconds.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    silent_watches: bool = False
    hosts_lag_ms: int = 0


class HostList(NamedTuple):
    """A host list and the monotonic time in seconds at which it was set."""

    set_at: float
    hosts: list[dict[str, str]]


class State:
    """What one stand-in holds."""

    def __init__(self) -> None:
        self.store = Store()
        self.faults = Faults()
        self.silenced_before = 0
        self.watches_opened = 0
        self.watches_waiting = 0
        self.host_lists = [HostList(0.0, [])]
        self.lock = threading.Lock()
        self.calls: Counter[str] = Counter()
        self.sent_bytes = 0
