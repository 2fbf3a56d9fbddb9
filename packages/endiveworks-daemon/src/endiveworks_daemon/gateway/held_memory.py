"""Counts the bytes that this process holds for its callers, and keeps them within a bound."""

import asyncio
import enum
import itertools
import math
import time
from collections import Counter, deque
from collections.abc import Callable

from endiveworks.gateway.memory_budget import (
    FREED_WEIGHT,
    Claim,
    Peer,
    bound_bytes,
    claim_of,
    expected_room_wait_s,
    has_room,
    is_fair,
    is_short,
    missing_bytes,
    peers_to_cut,
    peers_to_evict,
)
from endiveworks.telemetry import logs
from endiveworks.telemetry.metrics import Metrics

SWEEP_PERIOD_S = 0.25  # Time between looks at the readers; a fraction of the time they are given.
REFUSED_FOR_S = 1.0  # A refusal counts as wanted memory for this long.
# Shortest time between two evictions, each of which looks at all connections.
EVICTION_PERIOD_S = 0.05
CONNECTION_BYTES = 16 * 1024  # Objects of one open connection.
# Objects of one request at work (48 KiB), and what arrives of its response while nothing of it is
# read (twice BOUNDED_READ_BYTES and KERNEL_BUFFER_BYTES).
REQUEST_BYTES = 48 * 1024 + 2 * 16 * 1024 + 64 * 1024


class Item(enum.Enum):
    """What bytes are held for."""

    CONNECTION = "connection"
    REQUEST = "request"  # Objects of a request and its body.
    INPUT = "input"  # Bytes received beyond what has been parsed.
    RESPONSE = "response"  # Prompt with its history, response or transcript.
    EVENT = "event"  # Event of a stream that isn't complete.
    OUTPUT = "output"  # Bytes written that the caller has not read.


_OF_REQUEST = (Item.REQUEST, Item.RESPONSE, Item.EVENT)
_OF_SENDERS = (Item.REQUEST, Item.INPUT)
_EVICTING = (Claim.NEW, Claim.LARGE, Claim.CONNECTION)
_COUNTERS = {"reader": "readers_cut", "sender": "senders_cut", "idle": "idle_connections_cut"}


class Account:
    """The bytes held for one caller's connection.

    Args:
        memory: The memory of the process.
        cut: Ends the connection to make room; returns what it was, "reader" for one that has left
            a response unread, "sender" for one that has not sent its request, "idle" for one
            without a request, empty if it has ended already.
        measure: Returns since when the caller has been owing progress (None for not), after it
            has brought the account up to date.
        waiting_since: Returns since when the caller has sent nothing or too little of a request;
            None while one is served.

    Attributes:
        id: Number of the connection.
        is_limited: Whether what is held for the connection is bounded.
        is_admitted: Whether there was memory for the connection itself.
    """

    def __init__(
        self,
        memory: "HeldMemory",
        cut: Callable[[], str],
        measure: Callable[["Account"], float | None],
        waiting_since: Callable[[], float | None],
    ) -> None:
        self.id = memory.next_id()
        self._memory = memory
        self._items: Counter[Item] = Counter()
        self.cut = cut
        self.measure = measure
        self.waiting_since = waiting_since
        self.is_limited = memory.is_bounded
        self.is_admitted = True

    def held(self) -> int:
        """Returns the bytes held, as far as they are bounded."""
        return self._items.total()

    def set(self, item: Item, size: int) -> None:
        """Sets the bytes held for an item, whether there is room or not."""
        if self.is_limited:
            self._memory.add(size - self._items[item])
            self._items[item] = size

    def resize(self, item: Item, size: int) -> bool:
        """Sets the bytes held for an item if there is room and it takes only its part of it."""
        extra = size - self._items[item]
        if extra <= 0:
            self.set(item, size)
            return True
        if not self.is_fair(self.held() + extra):
            return False
        return self.claim(item, extra, Claim.BEHIND)

    def claim_response(self, size: int) -> bool:
        """Adds bytes of a response if there is room and it takes only its part of the memory."""
        return self.resize(Item.RESPONSE, self._items[Item.RESPONSE] + size)

    def release(self, item: Item, size: int) -> None:
        """Takes bytes off an item."""
        self.set(item, self._items[item] - size)

    def claim(self, item: Item, size: int, claim: Claim) -> bool:
        """Adds bytes to an item if there is room; returns whether there was."""
        if not self.is_limited:
            return True
        if item in _OF_SENDERS:
            claim = claim_of(claim, sum(self._items[part] for part in _OF_SENDERS) + size)
        if not self._memory.claim(size, claim):
            return False
        self._items[item] += size
        return True

    def has_room(self, claim: Claim) -> bool:
        """Returns whether there is room for anything of a kind from the caller."""
        return not self.is_limited or has_room(claim, 0, self._memory.held, self._memory.bound)

    def is_fair(self, size: int) -> bool:
        """Returns whether bytes are no more than one connection's part of the memory."""
        return is_fair(size, self._memory.bound)

    async def wait_for_room(self, item: Item, size: int, claim: Claim) -> None:
        """Adds bytes to an item as soon as there is room."""
        if self.is_limited:
            await self._memory.wait_for_room(size, claim)
            self._items[item] += size

    def retry_wait_s(self, size: int) -> float:
        """Counts a refusal and returns the expected time until a request has room."""
        return self._memory.refuse(size)

    def end_request(self) -> None:
        """Releases what was held for the request at work."""
        for item in _OF_REQUEST:
            self.set(item, 0)

    def close(self) -> None:
        """Releases everything."""
        for item in Item:
            self.set(item, 0)
        self._memory.forget(self)
        # The connection refers to the account.
        self.cut, self.measure, self.waiting_since = _end_nothing, _owe_nothing, _wait_for_nothing


def _end_nothing() -> str:
    return ""


def _owe_nothing(_: Account) -> float | None:
    return None


def _wait_for_nothing() -> float | None:
    return None


class HeldMemory:
    """The bytes that the process holds for all its callers.

    Args:
        memory_mb: Memory of the process in megabytes; 0 for no limit.
        metrics: Receives gauges and counters; None for none.

    Attributes:
        bound: The most bytes that may be held; infinite without a limit.
        is_bounded: Whether there is a limit.
        held: Bytes that are held.
        peak: The most bytes that were held at once.
    """

    def __init__(self, memory_mb: float = 0.0, metrics: Metrics | None = None) -> None:
        self.bound = bound_bytes(memory_mb)
        self.is_bounded = math.isfinite(self.bound)
        self.held = 0
        self.peak = 0
        self._metrics = metrics
        self._accounts: dict[int, Account] = {}
        self._ids = itertools.count()
        self._waiting: dict[Claim, deque[tuple[int, asyncio.Future[None]]]] = {
            Claim.FLOWING: deque(),
            Claim.BEHIND: deque(),
        }
        self._is_short = False
        self._wanted = 0
        self._refused_s = -math.inf
        self._freed = 0
        self._freed_per_s = 0.0
        self._freed_since_s = time.monotonic()
        self._evicted_s = -math.inf

    def open(
        self,
        cut: Callable[[], str],
        measure: Callable[[Account], float | None],
        waiting_since: Callable[[], float | None],
    ) -> Account:
        """Returns the account of a new connection; see Account."""
        account = Account(self, cut, measure, waiting_since)
        if self.is_bounded:
            account.is_admitted = account.claim(Item.CONNECTION, CONNECTION_BYTES, Claim.CONNECTION)
        if self.is_bounded and account.is_admitted:
            self._accounts[account.id] = account
        return account

    def forget(self, account: Account) -> None:
        """Removes the account of a connection that has ended."""
        self._accounts.pop(account.id, None)

    def next_id(self) -> int:
        """Returns a number that no other connection has."""
        return next(self._ids)

    def add(self, size: int) -> None:
        """Adds bytes, or takes them off if negative, and lets waiting requests go on."""
        self.held += size
        self.peak = max(self.peak, self.held)
        if size < 0:
            self._freed -= size
            self._wake()

    def claim(self, size: int, claim: Claim) -> bool:
        """Adds bytes if there is room, or can be made; returns whether there was."""
        if not has_room(claim, size, self.held, self.bound) and claim in _EVICTING:
            self._evict(claim, size, time.monotonic())
        if not has_room(claim, size, self.held, self.bound):
            self._record_lack(size)
            return False
        self.add(size)
        return True

    async def wait_for_room(self, size: int, claim: Claim) -> None:
        """Adds bytes as soon as there is room."""
        if not self._waiting[claim] and self.claim(size, claim):
            return
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        entry = (size, fut)
        self._waiting[claim].append(entry)
        try:
            await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled():
                self.add(-size)  # It was granted at the same moment.
            raise
        finally:
            if entry in self._waiting[claim]:
                self._waiting[claim].remove(entry)

    def refuse(self, size: int) -> float:
        """Counts a refused request and returns the expected time until it has room."""
        self._record_lack(size)
        self._count("memory_refusals")
        return expected_room_wait_s(size, self.held, self.bound, self._freed_per_s)

    async def run(self) -> None:
        """Cuts off callers that are behind while memory is short; does nothing without a bound."""
        while self.is_bounded:
            await asyncio.sleep(SWEEP_PERIOD_S)
            self.sweep(time.monotonic())

    def sweep(self, now_s: float) -> None:
        """Brings all accounts up to date and cuts off callers if memory is short."""
        if now_s - self._refused_s > REFUSED_FOR_S:
            self._wanted = 0
        peers = [
            Peer(name, account.held(), since_s)
            for name, account in list(self._accounts.items())
            for since_s in [account.measure(account)]
        ]
        self._update_rate(now_s)
        self._update_state()
        if self._is_short:
            for peer in peers_to_cut(peers, self.held, self._wanted, self.bound, now_s):
                self._cut(peer, now_s)
        if self._metrics is not None:
            self._metrics.gauge("held_bytes", self.held)
            self._metrics.gauge("held_bytes_bound", self.bound)

    def _evict(self, claim: Claim, size: int, now_s: float) -> None:
        """Cuts off callers that have stopped sending, if that makes room."""
        if now_s - self._evicted_s < EVICTION_PERIOD_S:
            return
        self._evicted_s = now_s
        peers = [
            Peer(name, account.held(), account.waiting_since())
            for name, account in self._accounts.items()
        ]
        missing = missing_bytes(claim, size, self.held, self.bound)
        for peer in peers_to_evict(peers, missing, now_s):
            account = self._accounts[peer.id]
            self._cut(peer, now_s)
            account.close()

    def _cut(self, peer: Peer, now_s: float) -> None:
        account = self._accounts.get(peer.id)
        if account is None:
            return
        kind = account.cut()
        if not kind:
            return
        self._count(_COUNTERS[kind])
        logs.logger("memory").info(
            "caller_cut",
            state=kind,
            bytes=peer.held_bytes,
            held_bytes=self.held,
            limit_bytes=round(self.bound),
            wait_ms=round((now_s - (peer.waiting_since_s or now_s)) * 1000),
        )

    def _record_lack(self, size: int) -> None:
        self._wanted = max(self._wanted, size)
        self._refused_s = time.monotonic()
        self._update_state()

    def _update_state(self) -> None:
        short = is_short(self._is_short, self.held, self._wanted, self.bound)
        if short is self._is_short:
            return
        self._is_short = short
        logs.logger("memory").info(
            "memory_short" if short else "memory_regained",
            held_bytes=self.held,
            limit_bytes=round(self.bound),
            running=len(self._accounts),
        )

    def _update_rate(self, now_s: float) -> None:
        took_s = now_s - self._freed_since_s
        if took_s < SWEEP_PERIOD_S / 2:
            return
        weight = min(1.0, FREED_WEIGHT * took_s)
        self._freed_per_s += weight * (self._freed / took_s - self._freed_per_s)
        self._freed, self._freed_since_s = 0, now_s

    def _wake(self) -> None:
        for claim, waiting in self._waiting.items():
            while waiting and has_room(claim, waiting[0][0], self.held, self.bound):
                size, fut = waiting.popleft()
                if not fut.done():
                    self.held += size
                    self.peak = max(self.peak, self.held)
                    fut.set_result(None)

    def _count(self, name: str) -> None:
        if self._metrics is not None:
            self._metrics.count(name)
