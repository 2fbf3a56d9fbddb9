"""Where streams began, so that one that broke goes on at the same version of a service's software.

Where a stream began never changes, so copies of it need no agreement: a copy is either right or
missing. The entry that sends the first event of a stream keeps the origin and gives copies to a
few other entries, which a hash of the attempt's id selects. Any entry finds them by the same hash
when a caller resumes the stream there. An origin that nobody has any more is unknown, and the
stream then can't be resumed.
"""

import bisect
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

# Entries that keep a copy; all of them are rarely lost at once with the entry that sent the stream.
COPIES = 3
# Time for which an origin is kept after the first event of its stream.
RETENTION_S = 60.0
# Origins that one process keeps at most; the oldest are dropped.
MAX_ORIGINS = 20_000


class StreamOrigin(NamedTuple):
    """The software that sent the first event of a stream.

    Attributes:
        service: Service of the replica.
        version: Version of the replica's software.
        host: Entry that passed the event on.
    """

    service: str
    version: str
    host: str

    def is_same_software(self, other: "StreamOrigin") -> bool:
        """Returns whether both streams began at the same version of one service."""
        return (self.service, self.version) == (other.service, other.version)


class _Kept(NamedTuple):
    origin: StreamOrigin | None
    at_s: float


class StreamOrigins:
    """The origins that a process keeps, those kept longest first."""

    def __init__(self) -> None:
        self._kept: OrderedDict[bytes, _Kept] = OrderedDict()

    def __len__(self) -> int:
        """Returns the number of origins."""
        return len(self._kept)

    def record(self, key: bytes, origin: StreamOrigin, now_s: float) -> None:
        """Keeps an origin.

        Args:
            key: Key of the stream, see attempt_key and content_key.
            origin: The origin. If another one is kept under the key, both are unknown from then on.
            now_s: Current time.
        """
        self._expire(now_s)
        kept = self._kept.pop(key, None)
        is_known = kept is None or (kept.origin and kept.origin.is_same_software(origin))
        self._kept[key] = _Kept(origin if is_known else None, now_s)
        if len(self._kept) > MAX_ORIGINS:
            self._kept.popitem(last=False)

    def find(self, key: bytes, now_s: float) -> StreamOrigin | None:
        """Returns the origin of a stream; None if it is unknown."""
        kept = self._kept.get(key)
        if kept is None or now_s - kept.at_s > RETENTION_S:
            return None
        return kept.origin

    def _expire(self, now_s: float) -> None:
        while self._kept:
            oldest = next(iter(self._kept.values()))
            if now_s - oldest.at_s <= RETENTION_S:
                return
            self._kept.popitem(last=False)


def attempt_key(request_id: str) -> bytes:
    """Returns the key of the stream that an attempt began."""
    return xxhash.xxh3_128_digest(b"attempt\n" + request_id.encode())


def content_key(digest: str) -> bytes:
    """Returns the key of the streams of requests with a path and body.

    It serves callers that don't name the attempt that began the stream.
    """
    return xxhash.xxh3_128_digest(b"content\n" + digest.encode())


class OriginHolders:
    """Selects the entries that keep copies, by consistent hashing.

    Args:
        hosts: Names of the entries.
    """

    def __init__(self, hosts: Iterable[str]) -> None:
        self._ring = sorted((xxhash.xxh3_128_digest(host.encode()), host) for host in hosts)

    def select(self, key: bytes) -> tuple[str, ...]:
        """Returns the names of the entries that keep the origin with a key."""
        start = bisect.bisect(self._ring, (key, ""))
        count = min(COPIES, len(self._ring))
        return tuple(self._ring[(start + n) % len(self._ring)][1] for n in range(count))
