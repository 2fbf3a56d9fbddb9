"""State that this process tracks of one replica and of its own requests in flight there."""

import time
from collections import OrderedDict
from collections.abc import Callable

from endiveworks.gateway.latency import MeanLatency, record_events, record_sample
from endiveworks.gateway.messages import Replica, Request
from endiveworks.gateway.outcomes import Outcomes
from endiveworks.gateway.prefixes import PromptCache
from endiveworks.gateway.replica_memory import TokensInFlight


class ReplicaState:
    """State of one replica.

    Attributes:
        replica: Its record in service discovery.
        in_flight: Number of requests that this process has in flight there.
        memory_tokens: Tokens that fit into its memory; 0 if it has no limit.
        tokens_in_flight: Tokens that requests in flight from this process take in its memory.
        cached_parts: Prompt parts that it has probably cached.
        failures: Recent failures, decayed to the time of the last one.
        last_failure_s: Monotonic time of the last failure.
        outcomes: Outcomes of the requests that this process has sent there.
        is_leaving: Whether it has announced in a response that it is about to leave.
        delisted_s: Monotonic time since which it has been draining or missing from service
            discovery; None while it is listed.
        mean_latency: Mean time per stream event, or per response of a service that doesn't stream.
        stream_waits_s: Monotonic time since which each stream in flight has waited for its next
            event, longest wait first.
        response_waits_s: Monotonic time at which each request in flight of a service that doesn't
            stream was sent, oldest first.
        last_response_s: Monotonic time of the latest response of a service that doesn't stream.
        last_event_s: Monotonic time of the latest event of any stream.
    """

    def __init__(self, replica: Replica, memory_tokens: int) -> None:
        self.replica = replica
        self.in_flight = 0
        self.cached_parts = PromptCache(memory_tokens)
        self.memory_tokens = memory_tokens
        self.tokens_in_flight = TokensInFlight()
        self.failures = 0.0
        self.last_failure_s = 0.0
        self.outcomes = Outcomes()
        self.is_leaving = False
        self.delisted_s: float | None = None
        self.mean_latency = MeanLatency()
        self.stream_waits_s: OrderedDict[int, float] = OrderedDict()
        self.response_waits_s: OrderedDict[int, float] = OrderedDict()
        self.last_response_s = 0.0
        self.last_event_s = 0.0

    def fits(self, request: Request) -> bool:
        """Returns whether one more request of this process fits into the replica's memory."""
        return self.tokens_in_flight.fits(request.parts, request.max_tokens, self.memory_tokens)

    def stalled_s(self, now_s: float) -> float:
        """Returns the longest time that a stream has waited for its next event, in seconds."""
        return now_s - next(iter(self.stream_waits_s.values())) if self.stream_waits_s else 0.0

    def silent_s(self, now_s: float) -> float:
        """Returns the time for which requests have waited and no response at all has arrived.

        A replica that answers others meanwhile is only slow with one request.
        """
        if not self.response_waits_s:
            return 0.0
        return now_s - max(next(iter(self.response_waits_s.values())), self.last_response_s)

    def streams_silent_s(self, now_s: float) -> float:
        """Returns the time for which streams have waited and no event of any has arrived."""
        if not self.stream_waits_s:
            return 0.0
        return now_s - max(next(iter(self.stream_waits_s.values())), self.last_event_s)


class InFlightRequest:
    """A request that a replica is working on.

    Args:
        state: State of the replica; None if the replica is already gone.
        on_end: Called with the duration in seconds when the request ends.
        request: The request; None if its tokens are not counted.

    Attributes:
        started_s: Monotonic time at which it was sent.
    """

    def __init__(
        self,
        state: ReplicaState | None,
        on_end: Callable[[float], None],
        request: Request | None = None,
    ) -> None:
        self._state = state
        self._on_end = on_end
        self.started_s = time.monotonic()
        self._wait_started_s = self.started_s
        self._has_events = False
        if state is not None:
            state.in_flight += 1
        if state is not None and request is not None:
            state.tokens_in_flight.add(id(self), request.parts, request.max_tokens)

    @property
    def version(self) -> str:
        """Software version of the replica; empty when unknown."""
        return self._state.replica.version if self._state else ""

    def start_wait(self, streams: bool) -> None:
        """Starts to time the wait for the first event, or for a response that isn't a stream."""
        if streams:
            self.start_event_wait()
        elif self._state is not None:
            self._state.response_waits_s[id(self)] = time.monotonic()

    def start_event_wait(self) -> None:
        """Starts to time the wait for the next event; time spent on the caller isn't counted."""
        self._wait_started_s = time.monotonic()
        if self._state is not None:
            self._state.stream_waits_s[id(self)] = self._wait_started_s

    def record_events(self, count: int) -> None:
        """Records the arrival of stream events."""
        state, now_s = self._state, time.monotonic()
        if state is None:
            return
        state.stream_waits_s.pop(id(self), None)
        if count:
            state.last_event_s = now_s
        if self._has_events and count:
            state.mean_latency = record_events(
                state.mean_latency, now_s - self._wait_started_s, count, now_s
            )
        self._has_events = self._has_events or count > 0

    def record_response(self) -> None:
        """Records the complete response of a service that doesn't stream."""
        if self._state is not None:
            now_s = time.monotonic()
            self._state.last_response_s = now_s
            self._state.mean_latency = record_sample(
                self._state.mean_latency, now_s - self.started_s, now_s
            )

    def end(self) -> None:
        """Records that the replica no longer works on the request."""
        if self._state is not None:
            self._state.in_flight -= 1
            self._state.tokens_in_flight.remove(id(self))
            self._state.stream_waits_s.pop(id(self), None)
            self._state.response_waits_s.pop(id(self), None)
        self._on_end(time.monotonic() - self.started_s)
