"""The step loop that runs every request of the stand-in in one thread."""

import random
import threading
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple

from endiveworks.replay.engine import CacheEntry, Engine, Rates, Sequence

from .faults import Faults
from .text import Prompt

KEPT_REQUESTS = 10_000
KEPT_EVENTS = 10_000
MAX_STALL_S = 3_600.0

Log = Callable[..., None]


class Options(NamedTuple):
    """Behaviour beside the rates.

    Attributes:
        load_lag_s: Age that the load report reaches before it is renewed.
        event_lag_s: Delay after which a cache event can be read.
        event_loss: Probability that a cache event is lost.
        abandon_s: Seconds without a reader after which a request is cancelled.
        store_tokens: Tokens of exported prefixes kept outside the engine's memory.
        transfer_tokens_per_s: Tokens exported or imported in a second.
        seed: Seed of answers and of lost events.
    """

    load_lag_s: float = 1.0
    event_lag_s: float = 0.5
    event_loss: float = 0.0
    abandon_s: float = 30.0
    store_tokens: int = 1_000_000
    transfer_tokens_per_s: float = 60_000.0
    seed: int = 0


class Load(NamedTuple):
    """The load as reported to others."""

    at: float
    running: int
    waiting: int
    running_tokens: int
    cached_tokens: int
    memory_tokens: int


class SeenEvent(NamedTuple):
    """A cache event with its number and the time it happened."""

    number: int
    at: float
    kind: str
    salt: str
    tokens: int


class Request:
    """A request with the answer generated so far."""

    def __init__(self, seq: Sequence, prompt: Prompt, pieces: list[str], cut_after: int) -> None:
        self.seq = seq
        self.prompt = prompt
        self.pieces = pieces
        self.cut_after = cut_after
        self.changed = threading.Condition()
        self.produced = 0
        self.ending = ""
        self.readers = 0
        self.left_at = time.monotonic()

    def advance(self, produced: int, ending: str = "") -> None:
        """Publishes progress to the readers."""
        with self.changed:
            self.produced = produced
            self.ending = self.ending or ending
            self.changed.notify_all()


class Loop:
    """An engine with its requests, its faults and what it tells others."""

    def __init__(self, rates: Rates, options: Options, log: Log) -> None:
        self.rates = rates
        self.options = options
        self.log = log
        self.lock = threading.Lock()
        self.wake = threading.Condition(self.lock)
        self.engine = Engine(rates)
        self.requests: OrderedDict[str, Request] = OrderedDict()
        self.faults = Faults()
        self.events: deque[SeenEvent] = deque(maxlen=KEPT_EVENTS)
        self.event_count = 0
        self.exported: OrderedDict[str, CacheEntry] = OrderedDict()
        self.load = Load(time.monotonic(), 0, 0, 0, 0, rates.memory_tokens)
        self.source = random.Random(options.seed)

    def run(self) -> None:
        """Takes steps for ever; sleeps while there is no request."""
        while True:
            with self.lock:
                if not self.engine.busy:
                    self.wake.wait(1.0)
                self._sweep()
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

    def _finish(self, seq: Sequence, ending: str) -> None:
        request = self.requests.get(seq.request)
        if request is None or request.seq is not seq:
            return
        request.advance(seq.produced, ending)
        self.log(
            "finished",
            request=seq.request,
            salt=seq.salt,
            ending=ending,
            prompt_tokens=seq.prompt_tokens,
            completion_tokens=seq.produced,
            cached_tokens=seq.cached_tokens,
        )

    def submit(self, request_id: str, salt: str, prompt: Prompt, pieces: list[str]) -> Request:
        """Accepts a request, or returns the one already known under the id."""
        with self.lock:
            known = self.requests.get(request_id)
            if known is not None:
                return known
            seq = Sequence(
                request_id,
                salt,
                prompt.boundaries,
                prompt.tokens,
                max(1, len(pieces)),
                lambda n: prompt.prefix_id_after("".join(pieces[:n])),
            )
            request = Request(seq, prompt, pieces, self._take_cut())
            self.requests[request_id] = request
            hangs = self._take_hang()
            if not hangs and pieces:
                self.engine.submit(seq)
                self.wake.notify_all()
            self.log(
                "accepted", request=request_id, salt=salt, prompt_tokens=prompt.tokens, hangs=hangs
            )
            if not pieces:
                self._finish(seq, "stop")
            return request

    def cancel(self, request_id: str) -> bool:
        """Stops a request; False when it is unknown or has ended."""
        with self.lock:
            request = self.requests.get(request_id)
            if request is None or request.ending:
                return False
            self.engine.cancel(request_id)
            self._finish(request.seq, "cancelled")
            self._collect_events()
            return True

    def _sweep(self) -> None:
        now = time.monotonic()
        for request_id, request in list(self.requests.items()):
            gone = not request.readers and now - request.left_at > self.options.abandon_s
            if gone and not request.ending:
                self.engine.cancel(request_id)
                self._finish(request.seq, "abandoned")
            elif gone or len(self.requests) > KEPT_REQUESTS and request.ending:
                del self.requests[request_id]

    def set_faults(self, faults: Faults) -> None:
        """Puts faults in force."""
        with self.lock:
            self.faults = faults._replace(restart=False)
            if faults.restart:
                self._restart()
            self.wake.notify_all()

    def interrupt(self) -> int:
        """Cuts off every request and drops the cache; returns how many requests were cut off."""
        with self.lock:
            cut_off = sum(not request.ending for request in self.requests.values())
            self._restart()
            self.wake.notify_all()
            return cut_off

    def _restart(self) -> None:
        for request in self.requests.values():
            if not request.ending:
                request.advance(request.produced, "lost")
        self.log("restarted", requests=len(self.requests))
        self.requests.clear()
        self.engine = Engine(self.rates)
        self.events.clear()
        self.event_count = 0
        self.exported.clear()

    def _take_cut(self) -> int:
        if self.faults.cut_streams <= 0:
            return 0
        self.faults = self.faults._replace(cut_streams=self.faults.cut_streams - 1)
        return self.faults.cut_after_events

    def _take_hang(self) -> bool:
        if self.faults.hang_streams <= 0:
            return False
        self.faults = self.faults._replace(hang_streams=self.faults.hang_streams - 1)
        return True

    def _collect_events(self) -> None:
        now = time.monotonic()
        for event in self.engine.events:
            self.event_count += 1
            lost = self.faults.lose_events or self.source.random() < self.options.event_loss
            if not lost:
                self.events.append(SeenEvent(self.event_count, now, *event))
        self.engine.events.clear()

    def read_load(self) -> Load:
        """Returns the load report, which lags."""
        with self.lock:
            now = time.monotonic()
            if not self.faults.freeze_load and now - self.load.at >= self.options.load_lag_s:
                engine = self.engine
                self.load = Load(
                    now,
                    engine.running,
                    len(engine.waiting),
                    engine.running_tokens,
                    engine.cached_tokens,
                    self.rates.memory_tokens,
                )
            return self.load

    def read_events(self, after: int) -> list[SeenEvent]:
        """Lists the cache events that can be seen by now."""
        with self.lock:
            visible = time.monotonic() - self.options.event_lag_s
            return [e for e in self.events if e.number > after and e.at <= visible]

    def list_cache(self) -> dict[str, int]:
        """Lists the tokens of each cached prefix."""
        with self.lock:
            return {salt: found.tokens for salt, found in self.engine.cache.items()}

    def list_exported(self) -> dict[str, int]:
        """Lists the tokens of each exported prefix."""
        with self.lock:
            return {salt: found.tokens for salt, found in self.exported.items()}

    def release(self, salt: str) -> int:
        """Drops a cached or exported prefix."""
        with self.lock:
            tokens = self.engine.release(salt)
            exported = self.exported.pop(salt, None)
            self._collect_events()
            self.log("released", salt=salt, tokens=tokens)
            return tokens + (exported.tokens if exported else 0)

    def export_prefix(self, salt: str) -> int:
        """Moves a cached prefix out of the engine's memory and returns its tokens."""
        with self.lock:
            found = self.engine.cache.get(salt)
            if found is None:
                return 0
            self.exported[salt] = found
            self._trim_exported()
        time.sleep(found.tokens / self.options.transfer_tokens_per_s)
        with self.lock:
            self.engine.release(salt)
            self._collect_events()
        self.log("exported", salt=salt, tokens=found.tokens)
        return found.tokens

    def import_prefix(self, salt: str) -> int:
        """Moves an exported prefix back into the engine's memory and returns its tokens."""
        with self.lock:
            found = self.exported.pop(salt, None)
        if found is None:
            return 0
        time.sleep(found.tokens / self.options.transfer_tokens_per_s)
        with self.lock:
            self.engine.store(salt, found)
            self._collect_events()
        self.log("imported", salt=salt, tokens=found.tokens)
        return found.tokens

    def _trim_exported(self) -> None:
        while sum(found.tokens for found in self.exported.values()) > self.options.store_tokens:
            self.exported.popitem(last=False)
