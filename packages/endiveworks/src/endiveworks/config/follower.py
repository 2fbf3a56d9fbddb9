"""Keeps the configuration current: one host per region watches it, the others pull from peers."""

import random
import threading
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from returns.result import Result, Success

from ..errors import Code, Failure
from ..kvservice.kv import Change, Kv
from ..members.member import Member
from .active_config import ActiveConfig
from .publish import BUNDLE_KEY
from .pull_tree import WATCHER_CANDIDATES, TreePosition, tree_position

# Age in seconds of a source's last confirmed version after which the next host watches too.
STALE_S = 5.0
_RANDOM_SHARE = 0.25
_SKIP_REFUSED_S = 30.0
_NEVER_S = float("-inf")


class PulledBundle(NamedTuple):
    """A peer's response to a pull.

    Attributes:
        version: Active version at the peer.
        encoded: Its bundle; empty when it is not newer than the version in the request.
        age_s: Seconds since the version was last confirmed as the newest in the key-value service;
            None when the peer never had a confirmation.
    """

    version: int
    encoded: bytes
    age_s: float | None


class PeerCalls(NamedTuple):
    """Functions that call other hosts by their address.

    Attributes:
        pull: Returns a peer's bundle if its version is above the given one.
        notify: Sends this host's active version to a peer.
    """

    pull: Callable[[str, int], Result[PulledBundle, Failure]]
    notify: Callable[[str], None]


class Follower:
    """Keeps the active bundle current.

    Args:
        host: Name of this process.
        region: Its region.
        active_config: Holder of the active bundle.
        members: Returns the member hosts, by name.
        peers: Calls to other hosts.
        seeds: Addresses to pull from while there are no members.
        rng: Source of randomness.
    """

    def __init__(
        self,
        host: str,
        region: str,
        active_config: ActiveConfig,
        members: Callable[[], Mapping[str, Member]],
        peers: PeerCalls,
        seeds: Sequence[str],
        rng: random.Random,
    ) -> None:
        self._host = host
        self._region = region
        self._active_config = active_config
        self._members = members
        self._peers = peers
        self._seeds = seeds
        self._rng = rng
        self._pull_requested = threading.Event()
        self._newer_peer = ""
        self._confirmed_at_s = _NEVER_S
        self._source_confirmed_at_s = _NEVER_S
        self._skipped_version = 0
        self._skip_until_s = _NEVER_S

    def record_version(self, host: str, version: int, now_s: float) -> None:
        """Records the version in a peer's message; a newer one triggers a pull."""
        if version > self._newer_than(now_s):
            self._newer_peer = host
            self._pull_requested.set()

    def age_s(self, now_s: float) -> float | None:
        """Returns the seconds since the newest version was last confirmed; None if it never was."""
        return None if self._confirmed_at_s == _NEVER_S else now_s - self._confirmed_at_s

    def wait(self, timeout_s: float) -> None:
        """Waits until a peer reports a newer version, for at most `timeout_s` seconds."""
        self._pull_requested.wait(timeout_s)
        self._pull_requested.clear()

    def run_round(self, now_s: float) -> None:
        """Pulls from a peer that reported a newer version, then from the sources of this host.

        Also pulls from a fallback address if no source gave a fresh reply, and now and then at
        random.
        """
        members = self._members()
        position = tree_position(self._host, self._region, members)
        newer_peer, self._newer_peer = self._newer_peer, ""
        newer_member = members.get(newer_peer)
        if newer_member is not None and self._may_pull_from(newer_member, position, now_s):
            self._pull(newer_member.address, now_s)
        for source in position.sources if position is not None else ():
            if self._pull_from_source(source, now_s):
                return
        fallback = self._fallback_address(position, newer_member)
        if fallback:
            self._pull(fallback, now_s)

    def should_watch(self, now_s: float) -> bool:
        """Returns whether this host should watch: it is the first, or its sources are stale."""
        position = tree_position(self._host, self._region, self._members())
        if position is None or position.rank >= WATCHER_CANDIDATES:
            return False
        stale = now_s - self._source_confirmed_at_s > STALE_S * position.rank
        return position.rank == 0 or stale

    def watch(self, kv: Kv, clock: Callable[[], float]) -> Failure | None:
        """Reads the bundle, then watches it while `should_watch` holds.

        Returns:
            The failure that ended the watch, or None when this host should no longer watch.
        """
        read = kv.read_prefix(BUNDLE_KEY)
        if not isinstance(read, Success):
            return read.failure()
        snapshot = read.unwrap()
        for entry in snapshot.entries:
            self._apply_published(entry.value)
        self._confirmed_at_s = clock()
        revision = snapshot.revision

        def on_changes(changes: tuple[Change, ...]) -> bool:
            nonlocal revision
            for change in changes:
                revision = change.mod_revision
                self._apply_published(change.value or b"")
            self._confirmed_at_s = clock()
            return self.should_watch(clock())

        while True:
            ended = kv.watch(BUNDLE_KEY, revision, on_changes)
            if isinstance(ended, Success):
                return None
            if ended.failure().code is not Code.TIMEOUT:
                return ended.failure()

    def _may_pull_from(self, peer: Member, position: TreePosition | None, now_s: float) -> bool:
        """Returns whether to pull a newer version from a peer.

        When a region has lost the key-value service, only its first hosts pull from another region.
        The others wait for them, so that few copies cross the link between the regions.
        """
        if peer.region == self._region or position is None:
            return True
        return position.rank < WATCHER_CANDIDATES and now_s - self._confirmed_at_s > STALE_S

    def _apply_published(self, encoded: bytes) -> None:
        if self._active_config.adopt(encoded, BUNDLE_KEY).value_or(False):
            self._notify_children()

    def _pull_from_source(self, source: Member, now_s: float) -> bool:
        """Pulls from a source; returns False if another one should be tried."""
        age_s = self._pull(source.address, now_s)
        if age_s is None or age_s > STALE_S:
            return False
        self._source_confirmed_at_s = now_s - age_s
        # An occasional pull from another host bounds the delay that one faulty source can cause.
        return self._rng.random() >= _RANDOM_SHARE

    def _pull(self, address: str, now_s: float) -> float | None:
        """Pulls and adopts a bundle; returns the seconds since the peer's version was confirmed."""
        pulled = self._peers.pull(address, self._newer_than(now_s))
        if not isinstance(pulled, Success):
            return None
        reply = pulled.unwrap()
        offered = self._active_config.adopt(reply.encoded, address)
        if not isinstance(offered, Success):
            self._skipped_version = reply.version
            self._skip_until_s = now_s + _SKIP_REFUSED_S
            return None
        if offered.unwrap():
            self._notify_children()
        if reply.age_s is not None:
            self._confirmed_at_s = max(self._confirmed_at_s, now_s - reply.age_s)
        return reply.age_s

    def _notify_children(self) -> None:
        position = tree_position(self._host, self._region, self._members())
        for child in position.children if position is not None else ():
            self._peers.notify(child.address)

    def _newer_than(self, now_s: float) -> int:
        skipped = self._skipped_version if now_s < self._skip_until_s else 0
        return max(self._active_config.current().bundle.version, skipped)

    def _fallback_address(self, position: TreePosition | None, newer_member: Member | None) -> str:
        """Returns the address of another host of the region, of the newer member, or of a seed."""
        others = position.others if position is not None else ()
        if others:
            return self._rng.choice(others).address
        if newer_member is not None:
            return newer_member.address
        return self._rng.choice(self._seeds) if self._seeds else ""
