"""Step loop that runs all requests of the engine stand-in in one thread."""

import random
import threading
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple

from endiveworks.replay.engine import CacheEntry, Engine, Rates, Sequence

from .faults import Faults
from .text import Prompt

MAX_RETAINED_REQUESTS = 10_000
MAX_RETAINED_EVENTS = 10_000
MAX_STALL_S = 3_600.0

Log = Callable[..., None]


class Options(NamedTuple):
    """Behaviour of the stand-in other than its rates.

    Attributes:
        load_lag_s: Age from which a read updates the load report, in seconds.
        event_lag_s: Delay before a cache event can be read, in seconds.
        event_loss: Probability that a cache event is lost.
        abandon_s: Time without a reader after which a request is cancelled, in seconds.
        store_tokens: Capacity for exported prefixes outside the engine's memory, in tokens.
        transfer_tokens_per_s: Tokens exported or imported per second.
        seed: Seed for generated text and for event loss.
    """

    load_lag_s: float = 1.0
    event_lag_s: float = 0.5
    event_loss: float = 0.0
    abandon_s: float = 30.0
    store_tokens: int = 1_000_000
    transfer_tokens_per_s: float = 60_000.0
    seed: int = 0


class LoadReport(NamedTuple):
    """Load report of the engine."""

    at: float
    running: int
    waiting: int
    running_tokens: int
    cached_tokens: int
    memory_tokens: int


class RecordedEvent(NamedTuple):
    """A cache event with its sequence number and monotonic time."""

    number: int
    at: float
    kind: str
    salt: str
    tokens: int


class Request:
    """A request with the response text generated so far."""

    def __init__(self, seq: Sequence, prompt: Prompt, pieces: list[str], cut_after: int) -> None:
        self.seq = seq
        self.prompt = prompt
        self.pieces = pieces
        self.cut_after = cut_after
        self.changed = threading.Condition()
        self.produced = 0
        self.finish_reason = ""
        self.readers = 0
        self.last_read_at = time.monotonic()

    def advance(self, produced: int, finish_reason: str = "") -> None:
        """Publishes progress and notifies the readers."""
        with self.changed:
            self.produced = produced
            self.finish_reason = self.finish_reason or finish_reason
            self.changed.notify_all()


class EngineLoop:
    """An engine with its requests, injected faults, cache events and load report."""

    def __init__(self, rates: Rates, options: Options, log: Log) -> None:
        self.rates = rates
        self.options = options
        self.log = log
        self.lock = threading.Lock()
        self.work_available = threading.Condition(self.lock)
        self.engine = Engine(rates)
        self.requests: OrderedDict[str, Request] = OrderedDict()
        self.faults = Faults()
        self.events: deque[RecordedEvent] = deque(maxlen=MAX_RETAINED_EVENTS)
        self.event_count = 0
        self.exported: OrderedDict[str, CacheEntry] = OrderedDict()
        self.load = LoadReport(time.monotonic(), 0, 0, 0, 0, rates.memory_tokens)
        self.rng = random.Random(options.seed)

    def run(self) -> None:
        """Runs steps forever; sleeps while there are no requests."""
        while True:
            with self.lock:
                if not self.engine.busy:
                    self.work_available.wait(1.0)
                self._expire_requests()
                stall_s = self.faults.stall_s
                self.faults = self.faults._replace(stall_s=0.0)
            if stall_s:
                time.sleep(min(stall_s, MAX_STALL_S))
            self._step()

    def _step(self) -> None:
        began = time.monotonic()
        with self.lock:
            if not self.engine.busy:
                return
            engine = self.engine
            step = engine.step()
        time.sleep(max(0.0, began + step.duration_s - time.monotonic()))
        with self.lock:
            if engine is not self.engine:
                return
            self._publish(step.decoded)
            for seq in step.finished:
                self._finish(seq, "stop")
            self._collect_events()

    def _publish(self, decoded: list[Sequence]) -> None:
        for seq in decoded:
            request = self.requests.get(seq.request)
            if request is not None and request.seq is seq:
                request.advance(seq.produced)

    def _finish(self, seq: Sequence, finish_reason: str) -> None:
        request = self.requests.get(seq.request)
        if request is None or request.seq is not seq:
            return
        request.advance(seq.produced, finish_reason)
        self.log(
            "finished",
            request=seq.request,
            salt=seq.salt,
            ending=finish_reason,
            prompt_tokens=seq.prompt_tokens,
            completion_tokens=seq.produced,
            cached_tokens=seq.cached_tokens,
        )

    def submit(self, request_id: str, salt: str, prompt: Prompt, pieces: list[str]) -> Request:
        """Accepts a request, or returns the existing one with the same id."""
        with self.lock:
            existing = self.requests.get(request_id)
            if existing is not None:
                return existing
            seq = Sequence(
                request_id,
                salt,
                prompt.boundaries,
                prompt.tokens,
                max(1, len(pieces)),
                lambda n: prompt.prefix_id_after("".join(pieces[:n])),
            )
            request = Request(seq, prompt, pieces, self._next_cut())
            self.requests[request_id] = request
            hangs = self._next_hang()
            if not hangs and pieces:
                self.engine.submit(seq)
                self.work_available.notify_all()
            self.log(
                "accepted", request=request_id, salt=salt, prompt_tokens=prompt.tokens, hangs=hangs
            )
            if not pieces:
                self._finish(seq, "stop")
            return request

    def cancel(self, request_id: str) -> bool:
        """Cancels a request; returns False if it is unknown or has ended."""
        with self.lock:
            request = self.requests.get(request_id)
            if request is None or request.finish_reason:
                return False
            self.engine.cancel(request_id)
            self._finish(request.seq, "cancelled")
            self._collect_events()
            return True

    def _expire_requests(self) -> None:
        now = time.monotonic()
        for request_id, request in list(self.requests.items()):
            abandoned = not request.readers and now - request.last_read_at > self.options.abandon_s
            if abandoned and not request.finish_reason:
                self.engine.cancel(request_id)
                self._finish(request.seq, "abandoned")
            elif abandoned or len(self.requests) > MAX_RETAINED_REQUESTS and request.finish_reason:
                del self.requests[request_id]

    def set_faults(self, faults: Faults) -> None:
        """Replaces the injected faults, and restarts the engine if requested."""
        with self.lock:
            self.faults = faults._replace(restart=False)
            if faults.restart:
                self._restart()
            self.work_available.notify_all()

    def interrupt(self) -> int:
        """Aborts every request and drops the cache; returns the number of aborted requests."""
        with self.lock:
            aborted = sum(not request.finish_reason for request in self.requests.values())
            self._restart()
            self.work_available.notify_all()
            return aborted

    def _restart(self) -> None:
        for request in self.requests.values():
            if not request.finish_reason:
                request.advance(request.produced, "lost")
        self.log("restarted", requests=len(self.requests))
        self.requests.clear()
        self.engine = Engine(self.rates)
        self.events.clear()
        self.event_count = 0
        self.exported.clear()

    def _next_cut(self) -> int:
        if self.faults.cut_streams <= 0:
            return 0
        self.faults = self.faults._replace(cut_streams=self.faults.cut_streams - 1)
        return self.faults.cut_after_events

    def _next_hang(self) -> bool:
        if self.faults.hang_streams <= 0:
            return False
        self.faults = self.faults._replace(hang_streams=self.faults.hang_streams - 1)
        return True

    def _collect_events(self) -> None:
        now = time.monotonic()
        for event in self.engine.events:
            self.event_count += 1
            lost = self.faults.lose_events or self.rng.random() < self.options.event_loss
            if not lost:
                self.events.append(RecordedEvent(self.event_count, now, *event))
        self.engine.events.clear()

    def read_load(self) -> LoadReport:
        """Returns the load report, which may be up to load_lag_s old."""
        with self.lock:
            now = time.monotonic()
            if not self.faults.freeze_load and now - self.load.at >= self.options.load_lag_s:
                engine = self.engine
                self.load = LoadReport(
                    now,
                    engine.running,
                    len(engine.waiting),
                    engine.running_tokens,
                    engine.cached_tokens,
                    self.rates.memory_tokens,
                )
            return self.load

    def read_events(self, after: int) -> list[RecordedEvent]:
        """Returns the events numbered above `after` that are at least event_lag_s old."""
        with self.lock:
            visible = time.monotonic() - self.options.event_lag_s
            return [e for e in self.events if e.number > after and e.at <= visible]

    def list_cache(self) -> dict[str, int]:
        """Returns the length in tokens of each cached prefix by salt."""
        with self.lock:
            return {salt: prefix.tokens for salt, prefix in self.engine.cache.items()}

    def list_exported(self) -> dict[str, int]:
        """Returns the length in tokens of each exported prefix by salt."""
        with self.lock:
            return {salt: prefix.tokens for salt, prefix in self.exported.items()}

    def release(self, salt: str) -> int:
        """Drops a cached or exported prefix and returns the tokens freed."""
        with self.lock:
            tokens = self.engine.release(salt)
            exported = self.exported.pop(salt, None)
            self._collect_events()
            self.log("released", salt=salt, tokens=tokens)
            return tokens + (exported.tokens if exported else 0)

    def export_prefix(self, salt: str) -> int:
        """Exports a cached prefix from the engine's memory and returns its tokens."""
        with self.lock:
            prefix = self.engine.cache.get(salt)
            if prefix is None:
                return 0
            self.exported[salt] = prefix
            self._trim_exported()
        time.sleep(prefix.tokens / self.options.transfer_tokens_per_s)
        with self.lock:
            self.engine.release(salt)
            self._collect_events()
        self.log("exported", salt=salt, tokens=prefix.tokens)
        return prefix.tokens

    def import_prefix(self, salt: str) -> int:
        """Imports an exported prefix into the engine's memory and returns its tokens."""
        with self.lock:
            prefix = self.exported.pop(salt, None)
        if prefix is None:
            return 0
        time.sleep(prefix.tokens / self.options.transfer_tokens_per_s)
        with self.lock:
            self.engine.store(salt, prefix)
            self._collect_events()
        self.log("imported", salt=salt, tokens=prefix.tokens)
        return prefix.tokens

    def _trim_exported(self) -> None:
        while sum(prefix.tokens for prefix in self.exported.values()) > self.options.store_tokens:
            self.exported.popitem(last=False)
