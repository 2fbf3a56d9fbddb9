"""Follows the configuration: one host of a region watches it, the others pull it from peers."""

import random
import threading
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from returns.result import Result, Success

from ..errors import Code, Failure
from ..kvservice.kv import Change, Kv
from ..members.member import Member
from .adopt import Adoption
from .publish import BUNDLE_KEY
from .spread import WATCHERS, Place, place_of

# Age of a parent's knowledge from which the next host in the order watches too, in seconds.
STALE_S = 5.0
_RANDOM_SHARE = 0.25
_SKIP_REFUSED_S = 30.0
_NEVER_S = float("-inf")


class Pulled(NamedTuple):
    """What a peer returned.

    Attributes:
        version: Version in force at the peer.
        encoded: Its bundle; empty when it is not newer than asked for.
        age_s: Seconds since the key-value service is known to have had no newer version; None
            when the peer has never known.
    """

    version: int
    encoded: bytes
    age_s: float | None


class Links(NamedTuple):
    """How a follower reaches other hosts by their address.

    Attributes:
        pull: Returns a peer's bundle if its version is above a number.
        notify: Sends a peer a message that carries the version in force here.
    """

    pull: Callable[[str, int], Result[Pulled, Failure]]
    notify: Callable[[str], None]


class Follower:
    """Keeps the bundle in force up to date.

    Args:
        host: Name of this process.
        region: Its region.
        adoption: The bundle in force.
        members: Returns the hosts that may be asked, by name.
        links: How to reach them.
        seeds: Addresses to ask while no member is known.
        rng: Source of randomness.
    """

    def __init__(
        self,
        host: str,
        region: str,
        adoption: Adoption,
        members: Callable[[], Mapping[str, Member]],
        links: Links,
        seeds: Sequence[str],
        rng: random.Random,
    ) -> None:
        self._host = host
        self._region = region
        self._adoption = adoption
        self._members = members
        self._links = links
        self._seeds = seeds
        self._rng = rng
        self._wake = threading.Event()
        self._newer_at = ""
        self._known_at_s = _NEVER_S
        self._source_known_at_s = _NEVER_S
        self._skipped_version = 0
        self._skip_until_s = _NEVER_S

    def heard(self, host: str, version: int, now_s: float) -> None:
        """Notes the version that a message carried; a newer one makes this host pull."""
        if version > self._wanted_above(now_s):
            self._newer_at = host
            self._wake.set()

    def age_s(self, now_s: float) -> float | None:
        """Returns how old this host's knowledge of the newest version is; None for never."""
        return None if self._known_at_s == _NEVER_S else now_s - self._known_at_s

    def wait(self, timeout_s: float) -> None:
        """Waits until a newer version is heard of, at most for a time in seconds."""
        self._wake.wait(timeout_s)
        self._wake.clear()

    def run_round(self, now_s: float) -> None:
        """Pulls once: from the host that has a newer version, else from this host's source."""
        found = self._members()
        place = place_of(self._host, self._region, found)
        newer_at, self._newer_at = self._newer_at, ""
        heard_from = found.get(newer_at)
        if heard_from is not None and self._may_pull_from(heard_from, place, now_s):
            self._pull(heard_from.address, now_s)
        for source in place.sources if place is not None else ():
            if self._pull_from_source(source, now_s):
                return
        fallback = self._fallback(place, heard_from)
        if fallback:
            self._pull(fallback, now_s)

    def should_watch(self, now_s: float) -> bool:
        """Returns whether this host is to watch: the first, or when those before it are stale."""
        place = place_of(self._host, self._region, self._members())
        if place is None or place.rank >= WATCHERS:
            return False
        stale = now_s - self._source_known_at_s > STALE_S * place.rank
        return place.rank == 0 or stale

    def watch(self, kv: Kv, clock: Callable[[], float]) -> Failure | None:
        """Reads the bundle and watches it for as long as this host is to.

        Returns:
            What ended the watch, or None when this host is no longer to watch.
        """
        read = kv.read_prefix(BUNDLE_KEY)
        if not isinstance(read, Success):
            return read.failure()
        snapshot = read.unwrap()
        for entry in snapshot.entries:
            self._offer_published(entry.value)
        self._known_at_s = clock()
        revision = snapshot.revision

        def on_changes(changes: tuple[Change, ...]) -> bool:
            nonlocal revision
            for change in changes:
                revision = change.mod_revision
                self._offer_published(change.value or b"")
            self._known_at_s = clock()
            return self.should_watch(clock())

        while True:
            ended = kv.watch(BUNDLE_KEY, revision, on_changes)
            if isinstance(ended, Success):
                return None
            if ended.failure().code is not Code.TIMEOUT:
                return ended.failure()

    def _may_pull_from(self, peer: Member, place: Place | None, now_s: float) -> bool:
        """Whether a peer with a newer version is asked for it.

        The first hosts of a region that has lost the key-value service ask in another region; the
        others wait for them, so that the link between the regions carries few copies.
        """
        if peer.region == self._region or place is None:
            return True
        return place.rank < WATCHERS and now_s - self._known_at_s > STALE_S

    def _offer_published(self, encoded: bytes) -> None:
        if self._adoption.offer(encoded, BUNDLE_KEY).value_or(False):
            self._spread()

    def _pull_from_source(self, source: Member, now_s: float) -> bool:
        """Pulls from a host before this one; returns whether its knowledge is fresh."""
        age_s = self._pull(source.address, now_s)
        if age_s is None or age_s > STALE_S:
            return False
        self._source_known_at_s = now_s - age_s
        # A pull elsewhere now and then bounds the time that one broken parent can cost.
        return self._rng.random() >= _RANDOM_SHARE

    def _pull(self, address: str, now_s: float) -> float | None:
        """Pulls and adopts from an address; returns the age of what the peer knows."""
        pulled = self._links.pull(address, self._wanted_above(now_s))
        if not isinstance(pulled, Success):
            return None
        reply = pulled.unwrap()
        offered = self._adoption.offer(reply.encoded, address)
        if not isinstance(offered, Success):
            self._skipped_version = reply.version
            self._skip_until_s = now_s + _SKIP_REFUSED_S
            return None
        if offered.unwrap():
            self._spread()
        if reply.age_s is not None:
            self._known_at_s = max(self._known_at_s, now_s - reply.age_s)
        return reply.age_s

    def _spread(self) -> None:
        place = place_of(self._host, self._region, self._members())
        for child in place.children if place is not None else ():
            self._links.notify(child.address)

    def _wanted_above(self, now_s: float) -> int:
        skipped = self._skipped_version if now_s < self._skip_until_s else 0
        return max(self._adoption.in_force().bundle.version, skipped)

    def _fallback(self, place: Place | None, heard_from: Member | None) -> str:
        """Returns the address of another host of the region, a seed, or a host elsewhere."""
        others = place.others if place is not None else ()
        if others:
            return self._rng.choice(others).address
        if heard_from is not None:
            return heard_from.address
        return self._rng.choice(self._seeds) if self._seeds else ""
