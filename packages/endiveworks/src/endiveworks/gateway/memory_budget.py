"""Decides what a process may hold for its callers and replicas, and whom it cuts off for memory.

A process that uses more memory than its machine gives it is killed, with every request in flight.
So the bytes that it holds for peers are bounded, and what would pass the bound waits, is refused or
ends: a new request first, then what peers that are behind would add, and last the next piece for a
peer that has read everything so far, so that one slow peer doesn't hold up the others.
"""

import enum
import math
from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

BYTES_PER_MB = 1_000_000  # The settings count in decimal megabytes.
# Memory of a process besides what it holds for requests: 31 MB for the interpreter and the fleet,
# 17 MB of turns and 8 MB of transcripts that are kept, 15 MB of histograms when all are in use, and
# three copies of the longest turn while it is stored.
BASE_BYTES = 84 * BYTES_PER_MB
# Share of the rest that may be held; the allocator loses the other part between blocks.
HELD_SHARE = 0.75
# Bound on machines whose memory hardly exceeds the base.
MIN_BOUND_BYTES = 8 * BYTES_PER_MB
# Share of the bound up to which new requests are taken on.
NEW_SHARE = 0.8
# Share of the bound up to which more is held for peers that are behind.
BEHIND_SHARE = 0.9
# Share of the bound up to which the next piece is held for peers that are not behind.
FLOWING_SHARE = 0.95
# Share of the bound up to which one peer may hold more than ORDINARY_BYTES, so that ordinary
# requests have room beside long ones.
LARGE_SHARE = 0.6
# Bytes that a peer's request may take before it counts as a long one.
ORDINARY_BYTES = 256 * 1024
# Share of the bound that open connections may take by themselves.
CONNECTIONS_SHARE = 0.4
# Largest share of the bound that one response takes before the rest is passed on as it is read.
PEER_SHARE = 0.25
# Share of the bound below which memory counts as regained.
REGAINED_SHARE = 0.7
# A peer that has left the same bytes unread or unsent for this long may be cut off. Sound peers on
# a slow link move a piece in a fraction of it.
CUT_AFTER_S = 3.0
# A peer that sends a body counts as moving if it sends this many bytes within CUT_AFTER_S.
PROGRESS_BYTES = 64 * 1024
# A peer that has sent nothing or too little for this long is cut off if a new request, or a new
# connection, would be refused otherwise.
STALLED_S = 0.5
# Bounds of the wait that a refused caller is told.
MIN_RETRY_S = 0.2
MAX_RETRY_S = CUT_AFTER_S
# Weight of the newest second in the mean rate at which memory is freed.
FREED_WEIGHT = 0.3
# Writes that are closer together than this share one mark, so that few marks are kept.
MARK_INTERVAL_S = 0.25


class Claim(enum.Enum):
    """What memory is asked for."""

    NEW = "a request that has not begun"
    LARGE = "more for a request that is longer than an ordinary one"
    BEHIND = "more for a request whose peer has bytes left to read or to send"
    FLOWING = "the next piece for a peer that has read everything so far"
    CONNECTION = "a connection and the heads of its requests, without which nothing can be refused"


_SHARES = {
    Claim.NEW: NEW_SHARE,
    Claim.LARGE: LARGE_SHARE,
    Claim.BEHIND: BEHIND_SHARE,
    Claim.FLOWING: FLOWING_SHARE,
    Claim.CONNECTION: 1.0,
}


class Peer(NamedTuple):
    """A connection for which bytes are held.

    Attributes:
        id: Its id.
        held_bytes: Bytes held for it.
        waiting_since_s: Monotonic time since which it has left the same bytes unread or unsent;
            None if it owes nothing.
    """

    id: int
    held_bytes: int
    waiting_since_s: float | None


def bound_bytes(memory_mb: float) -> float:
    """Returns the most bytes that a process may hold for its peers; infinite without a limit.

    Args:
        memory_mb: Memory of the process in megabytes; 0 if it is not limited.
    """
    if memory_mb <= 0:
        return math.inf
    return max(MIN_BOUND_BYTES, (memory_mb * BYTES_PER_MB - BASE_BYTES) * HELD_SHARE)


def has_room(claim: Claim, size: int, held: int, bound: float) -> bool:
    """Returns whether more bytes may be held.

    Args:
        claim: What they are for.
        size: Their number.
        held: Bytes that are held already.
        bound: The most bytes that may be held.
    """
    return held + size <= bound * _SHARES[claim]


def is_fair(held: int, bound: float) -> bool:
    """Returns whether one connection holds no more than its part of the bound."""
    return held <= bound * PEER_SHARE


def is_short(was_short: bool, held: int, wanted: int, bound: float) -> bool:
    """Returns whether memory counts as short, with a gap between the two limits.

    Args:
        was_short: Whether it counted as short before.
        held: Bytes that are held.
        wanted: Bytes that were refused a moment ago.
        bound: The most bytes that may be held.
    """
    if wanted or held > bound * NEW_SHARE:
        return True
    return was_short and held > bound * REGAINED_SHARE


def peers_to_cut(
    peers: Sequence[Peer], held: int, wanted: int, bound: float, now_s: float
) -> list[Peer]:
    """Returns the peers to cut off, the one that has waited longest first.

    Only peers that have waited for CUT_AFTER_S are among them, and only as many as it takes until
    new requests have room again.

    Args:
        peers: All peers.
        held: Bytes that are held for them.
        wanted: Bytes that were refused a moment ago.
        bound: The most bytes that may be held.
        now_s: Monotonic time.
    """
    target = max(0.0, bound * NEW_SHARE - wanted)
    stuck = [
        (peer.waiting_since_s, -peer.held_bytes, peer)
        for peer in peers
        if peer.waiting_since_s is not None and now_s - peer.waiting_since_s >= CUT_AFTER_S
    ]
    cut = []
    for _, _, peer in sorted(stuck):
        if held <= target:
            break
        held -= peer.held_bytes
        cut.append(peer)
    return cut


def peers_to_evict(peers: Sequence[Peer], missing: float, now_s: float) -> list[Peer]:
    """Returns the peers to cut off for a new request, first those that hold most.

    Nobody is cut off if that doesn't make enough room.

    Args:
        peers: The peers that have sent nothing or too little of a request.
        missing: Bytes that the request lacks.
        now_s: Monotonic time.
    """
    stalled = [
        peer
        for peer in peers
        if peer.waiting_since_s is not None and now_s - peer.waiting_since_s >= STALLED_S
    ]
    evicted: list[Peer] = []
    for peer in sorted(stalled, key=lambda peer: (-peer.held_bytes, peer.waiting_since_s)):
        if missing <= 0:
            break
        missing -= peer.held_bytes
        evicted.append(peer)
    return evicted if missing <= 0 else []


def missing_bytes(claim: Claim, size: int, held: int, bound: float) -> float:
    """Returns how many bytes must be given back before there is room; see has_room."""
    return max(0.0, held + size - bound * _SHARES[claim])


def claim_of(claim: Claim, held: int) -> Claim:
    """Returns what a peer's request asks for, which is more if it is a long one.

    Args:
        claim: What an ordinary request would ask for.
        held: Bytes that would be held for the peer.
    """
    return Claim.LARGE if held > ORDINARY_BYTES and claim is not Claim.FLOWING else claim


def max_connections(bound: float, connection_bytes: int) -> float:
    """Returns the most connections that callers may keep open; infinite without a bound."""
    return max(1.0, bound * CONNECTIONS_SHARE / connection_bytes)


def expected_room_wait_s(size: int, held: int, bound: float, freed_per_s: float) -> float:
    """Returns the time after which a refused request probably has room, in seconds.

    Args:
        size: Bytes that it needs.
        held: Bytes that are held.
        bound: The most bytes that may be held.
        freed_per_s: Bytes that are freed in a second.
    """
    missing = max(0.0, held + size - bound * NEW_SHARE)
    if freed_per_s <= 0:
        return MAX_RETRY_S
    return min(MAX_RETRY_S, max(MIN_RETRY_S, missing / freed_per_s))


class UnreadBytes:
    """Since when a peer has left bytes unread that were written to it.

    Attributes:
        since_s: Monotonic time at which its oldest unread bytes were written; None if it has read
            everything.
    """

    def __init__(self) -> None:
        self._written = 0
        self._marks: deque[tuple[int, float]] = deque()  # End of some bytes, and their time.

    @property
    def since_s(self) -> float | None:
        """Returns the time of the oldest unread bytes."""
        return self._marks[0][1] if self._marks else None

    def write(self, size: int, now_s: float) -> None:
        """Records that bytes were written."""
        self._written += size
        if self._marks and now_s - self._marks[-1][1] < MARK_INTERVAL_S:
            self._marks[-1] = (self._written, self._marks[-1][1])
        else:
            self._marks.append((self._written, now_s))

    def read(self, unread: int) -> None:
        """Records how many of the bytes are still unread."""
        done = self._written - unread
        while self._marks and self._marks[0][0] <= done:
            self._marks.popleft()
