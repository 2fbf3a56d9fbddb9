"""Interface of the platform's key-value service."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result

from ..errors import Failure


class KeyValue(NamedTuple):
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes
    mod_revision: int
    lease: int = 0


class Snapshot(NamedTuple):
    """All entries under a prefix, as of one revision of the store."""

    revision: int
    entries: tuple[KeyValue, ...]


class Swap(NamedTuple):
    """A compare-and-swap: it takes effect only if the key has the expected revision.

    Attributes:
        key: The key to change.
        value: The new value; None deletes the key.
        expected_revision: The mod_revision that the key must have; 0 means the key must not exist.
        lease: Lease id that the key is attached to; 0 for none.
    """

    key: str
    value: bytes | None
    expected_revision: int
    lease: int = 0


class SwapResult(NamedTuple):
    """The result of a swap: whether it took effect, and the current entry."""

    done: bool
    revision: int
    current: KeyValue | None


class Change(NamedTuple):
    """One change reported by a watch; value is None for a deletion."""

    key: str
    value: bytes | None
    mod_revision: int


class Kv(NamedTuple):
    """Client of the key-value service.

    Every function returns a Failure with code TIMEOUT or UNREACHABLE when the service does not
    respond. A swap with such a failure may have taken effect; the caller reads the key to find out.

    Attributes:
        read: Reads one key; None when absent.
        read_prefix: Reads every key under a prefix.
        swap: Writes one key by compare-and-swap.
        grant_lease: Creates a lease with a time to live in seconds and returns its id.
        keep_alive: Renews a lease and returns its remaining seconds; 0 when it has expired.
        watch: Passes each batch of changes under a prefix after a revision to a function. Blocks
            until that function returns False or the connection is lost. An empty batch is a
            progress notification. TIMEOUT means that no message arrived in time: a new watch from
            the last revision received misses nothing. CONFLICT means that changes after this
            revision are not available: read the prefix again.
    """

    read: Callable[[str], Result[KeyValue | None, Failure]]
    read_prefix: Callable[[str], Result[Snapshot, Failure]]
    swap: Callable[[Swap], Result[SwapResult, Failure]]
    grant_lease: Callable[[int], Result[int, Failure]]
    keep_alive: Callable[[int], Result[int, Failure]]
    watch: Callable[[str, int, Callable[[tuple[Change, ...]], bool]], Result[None, Failure]]
