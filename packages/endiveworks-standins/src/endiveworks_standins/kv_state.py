"""State of the key-value stand-in: its store, injected faults and counters."""

import threading
from collections import Counter
from typing import NamedTuple

from .kv_store import Store


class Faults(NamedTuple):
    """Injected faults.

    Attributes:
        down: Whether connections are closed without a response, including waiting watches.
        delay_ms: Delay before each call is handled, in milliseconds.
        lose_answers: Number of further writes that take effect but whose response is lost.
        silent_watches: Whether open and new watches stop sending messages; open ones never resume.
        hosts_lag_ms: Delay before a new host list is served, in milliseconds.
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
    """State of one stand-in."""

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
