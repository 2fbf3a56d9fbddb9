"""What this process knows of one replica, and of its own requests there."""

import time
from collections import OrderedDict
from collections.abc import Callable

from endiveworks.gateway.messages import Replica
from endiveworks.gateway.pace import Pace, note, note_events
from endiveworks.gateway.prefixes import HeldParts


class Known:
    """State of one replica.

    Attributes:
        listed: What service discovery says of it.
        sent: Requests of this process under way there.
        held: Prompt parts that it probably holds.
        faults: Recent failures there, as of the last one.
        faulted_s: When that was.
        left_s: Since when it has been missing in the list, or draining; None while it stays.
        pace: How fast it answers.
        waiting: Since when each stream under way has waited for its next event, longest first.
    """

    def __init__(self, listed: Replica, memory_tokens: int) -> None:
        self.listed = listed
        self.sent = 0
        self.held = HeldParts(memory_tokens)
        self.faults = 0.0
        self.faulted_s = 0.0
        self.left_s: float | None = None
        self.pace = Pace()
        self.waiting: OrderedDict[int, float] = OrderedDict()

    def stalled_s(self, now_s: float) -> float:
        """Returns for how long the stream that has waited longest has brought no event."""
        return now_s - next(iter(self.waiting.values())) if self.waiting else 0.0


class UnderWay:
    """A request that a replica works on.

    Args:
        known: State of the replica; None when it is gone already.
        ended: Is called with its time in seconds when it ends.
    """

    def __init__(self, known: Known | None, ended: Callable[[float], None]) -> None:
        self._known = known
        self._ended = ended
        self._started_s = time.monotonic()
        self._waits_s = self._started_s
        self._has_events = False
        if known is not None:
            known.sent += 1

    def wait_for_event(self) -> None:
        """Notes that the stream's next event is waited for, and not its caller."""
        self._waits_s = time.monotonic()
        if self._known is not None:
            self._known.waiting[id(self)] = self._waits_s

    def note_events(self, count: int) -> None:
        """Notes that events of the stream have come."""
        known, now_s = self._known, time.monotonic()
        if known is None:
            return
        known.waiting.pop(id(self), None)
        if self._has_events and count:
            known.pace = note_events(known.pace, now_s - self._waits_s, count, now_s)
        self._has_events = self._has_events or count > 0

    def note_answer(self) -> None:
        """Notes that the whole answer of a plain service has come."""
        if self._known is not None:
            now_s = time.monotonic()
            self._known.pace = note(self._known.pace, now_s - self._started_s, now_s)

    def end(self) -> None:
        """Ends the work on the request."""
        if self._known is not None:
            self._known.sent -= 1
            self._known.waiting.pop(id(self), None)
        self._ended(time.monotonic() - self._started_s)
