"""Where streams began, so that one that broke goes on at the same version of a service's software.

Callers that resume a stream often name neither the attempt that began it nor the entry, so streams
are found by a hash of their request. A request that is sent again from its start has the same
hash, and may begin at another version. An entry therefore tells the disks in use, before the first
event goes to the caller, and answers from a read quorum of them: of the starts that a caller may
have events of, none is missed, and if they differ, none is chosen.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

import xxhash

from ..turns.view import View, is_read_quorum

# Time for which a start is kept after it was last told.
RETENTION_S = 60.0
# A stream that still runs after this time tells its start again.
REFRESH_S = 15.0
# Timeouts of its route after which a caller no longer resumes a stream: one for the attempt that
# began it, one for a wait before the next attempt, one for attempts that were refused.
RESUMABLE_TIMEOUTS = 3.0
# Longest name of a service, version, process or replica that is told.
MAX_NAME_BYTES = 150


class StreamOrigin(NamedTuple):
    """The software that sent the first event of a stream.

    Attributes:
        service: Service of the replica.
        version: Version of the replica's software; empty if it is not known.
        host: Entry that passed the event on.
        replica: Id of the replica.
    """

    service: str
    version: str
    host: str
    replica: str = ""

    def is_same_software(self, other: "StreamOrigin") -> bool:
        """Returns whether both streams began at the same version of one service."""
        return (self.service, self.version) == (other.service, other.version)


class StreamStart(NamedTuple):
    """What the entry that serves an attempt tells of its stream.

    Attributes:
        attempt: Id of the attempt.
        number: Number of changes to what is told; what has the highest number holds.
        origin: Where the first event comes from; None if the attempt ended without an event.
        age_s: Time since a holder was told.
        has_events: Whether an event was sent to the caller.
    """

    attempt: str
    number: int
    origin: StreamOrigin | None
    age_s: float = 0.0
    has_events: bool = False


class HolderReply(NamedTuple):
    """What one holder knows of a request's streams.

    Attributes:
        starts: Starts of streams.
        held_s: Time for which the holder has kept all that it was told.
        is_partial: Whether there are more starts than it keeps of one request.
    """

    starts: tuple[StreamStart, ...]
    held_s: float
    is_partial: bool = False


class Verdict(NamedTuple):
    """What follows from the replies so far.

    Attributes:
        origin: Where the resumed stream began; None if that is not known.
        is_final: Whether further replies can't change it, or must not.
    """

    origin: StreamOrigin | None
    is_final: bool


_UNDECIDED = Verdict(None, False)
_CONTRADICTORY = Verdict(None, True)


def stream_key(digest: str) -> bytes:
    """Returns the key of the streams of requests with a path and body."""
    return xxhash.xxh3_128_digest(digest.encode())


def attempt_name(request_id: str) -> str:
    """Returns a name of bounded length for the attempt with an id; empty for none."""
    return xxhash.xxh3_64_hexdigest(request_id.encode()) if request_id else ""


def bounded(origin: StreamOrigin) -> StreamOrigin:
    """Returns an origin that fits in a datagram; one whose names are too long is not known."""
    is_long = any(len(name.encode()) > MAX_NAME_BYTES for name in origin)
    return StreamOrigin("", "", "") if is_long else origin


def resumable_s(timeout_s: float) -> float:
    """Returns the longest time since its start was told after which a stream is resumed."""
    return min(RESUMABLE_TIMEOUTS * timeout_s, RETENTION_S)


def decide(
    view: View,
    replies: Mapping[str, HolderReply],
    known: Collection[StreamStart],
    attempt: str,
    window_s: float,
) -> Verdict:
    """Decides where a resumed stream began.

    Args:
        view: The disks in use, which are the holders.
        replies: Their replies by folder.
        known: Starts that this process knows by itself; they never suffice.
        attempt: Id of the attempt that the caller resumes; empty if it names none.
        window_s: Longest age of the start that is resumed.
    """
    starts = [start for reply in replies.values() for start in reply.starts]
    candidates = [
        start
        for start in _newest([*starts, *known])
        if start.origin is not None
        and (start.attempt == attempt if attempt else start.age_s <= window_s)
    ]
    origins = [start.origin for start in candidates if start.origin is not None]
    if any(not o.version or not o.is_same_software(origins[0]) for o in origins):
        return _CONTRADICTORY
    if attempt and any(start.has_events for start in candidates):
        return Verdict(origins[0], True)  # The attempt is bound to it, so no later one is missing.
    if any(reply.is_partial for reply in replies.values()):
        return _CONTRADICTORY
    needed_s = max([window_s, *(start.age_s for start in candidates)])
    # One that has held all for exactly as long may have begun just after a start was told.
    reliable = [
        folder
        for folder, reply in replies.items()
        if reply.held_s > needed_s or reply.held_s >= RETENTION_S
    ]
    if not origins or not is_read_quorum(view, reliable):
        return _UNDECIDED
    return Verdict(origins[0], True)


def _newest(starts: Collection[StreamStart]) -> list[StreamStart]:
    """Returns what was told last of each attempt."""
    newest: dict[str, StreamStart] = {}
    for start in starts:
        other = newest.get(start.attempt)
        if other is None or (start.number, -start.age_s) > (other.number, -other.age_s):
            newest[start.attempt] = start
    return list(newest.values())
