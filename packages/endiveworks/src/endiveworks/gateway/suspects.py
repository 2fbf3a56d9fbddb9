"""Recognizes requests that end the replicas that run them, and keeps them from further replicas.

A request is known by a hash of its path and body, so that it is recognized whoever sends it and to
whichever entry. Entries tell each other which requests were running at replicas that ended. Other
requests that ran there at the same moment are suspected as well, until a replica responds to them,
or until one of the requests turns out to have ended more replicas: the end of a replica counts
against those of its requests that have ended the most. The decisions answer a load in which one
request is repeated, by callers or programs, after each replica that it has ended.
"""

import heapq
from collections import Counter, OrderedDict
from collections.abc import Collection, Mapping
from typing import NamedTuple

from .rate_limit import MIN_NEWER_S

# A request that alone ended this many replicas is not sent for a while.
HOLD_CRASHES = 2
# Time for which it is not sent; replicas start again in less.
HOLD_S = 20.0
# A request that alone ended this many replicas is not sent until it is forgotten.
MAX_CRASHES = 3
# The same if another request was running at all of them and may have ended them as well.
MAX_SHARED_CRASHES = 4
# Time for which a request stays known after the last replica that it ended.
RETENTION_S = 300.0
# Time after which a request that is running already may be sent again.
SOLO_RETRY_S = 1.0
# Two ends of one replica within this time are the same; replicas take longer to start again.
SAME_CRASH_S = 2.0
# Crashes that are kept of one request.
MAX_KEPT_CRASHES = 6
# Requests that are kept.
MAX_REQUESTS = 500
# Requests that one message tells another entry of.
MAX_SHARED = 32
# Time for which others are told of a request that ended one replica; most of these are innocent.
SINGLE_SHARED_S = 5.0


class Crash(NamedTuple):
    """The end of a replica that was running a request.

    Attributes:
        replica: Id of the replica.
        age_s: Time since then, in seconds.
    """

    replica: str
    age_s: float


class Suspicion(NamedTuple):
    """What is known of one request.

    Attributes:
        crashes: Replicas that ended while they ran it.
        cleared_age_s: Time since a replica responded to it, in seconds; None if none did.
    """

    crashes: tuple[Crash, ...]
    cleared_age_s: float | None = None


class Verdict(NamedTuple):
    """Decision on a request that is about to be sent.

    Attributes:
        may_run: Whether it may be sent to a replica.
        retry_after_s: Time after which it may be sent again, if not.
        crashes: Number of replicas that ended while they ran it.
    """

    may_run: bool
    retry_after_s: float = 0.0
    crashes: int = 0


class _Record:
    """What is known of one request, in the time of this process.

    Attributes:
        crashes: Ids of replicas that ended while they ran it, with the times.
        cleared_s: Time of the latest response of a replica to it.
        last_s: Time of the newest fact.
    """

    def __init__(self) -> None:
        self.crashes: list[tuple[str, float]] = []
        self.cleared_s = float("-inf")
        self.last_s = float("-inf")

    def has(self, crash: tuple[str, float]) -> bool:
        """Returns whether the request was running at a replica when it ended."""
        return any(_is_same(crash, known) for known in self.crashes)

    def is_news(self, crash: tuple[str, float]) -> bool:
        """Returns whether the end of a replica is unknown and no later response clears it."""
        return crash[1] > self.cleared_s and not self.has(crash)

    def add(self, crash: tuple[str, float]) -> None:
        """Adds the end of a replica."""
        self.crashes = [*self.crashes, crash][-MAX_KEPT_CRASHES:]
        self.last_s = max(self.last_s, crash[1])

    def clear(self, at_s: float) -> None:
        """Drops what was known before a replica responded."""
        # What two processes tell each other appears newer by the delay between them.
        if at_s <= self.cleared_s + MIN_NEWER_S:
            return
        self.cleared_s = at_s
        self.last_s = max(self.last_s, at_s)
        self.crashes = [crash for crash in self.crashes if crash[1] > at_s]


def _is_same(crash: tuple[str, float], other: tuple[str, float]) -> bool:
    return crash[0] == other[0] and abs(crash[1] - other[1]) < SAME_CRASH_S


class Suspects:
    """The requests that were running at replicas that ended, of bounded number and age."""

    def __init__(self) -> None:
        self._records: OrderedDict[str, _Record] = OrderedDict()
        self._running: Counter[str] = Counter()

    def __len__(self) -> int:
        """Returns the number of requests that are known."""
        return len(self._records)

    def check(self, digest: str, now_s: float, own_runs: int = 0) -> Verdict:
        """Decides whether a request may be sent to a replica.

        Args:
            digest: Hash of the request.
            now_s: The current time.
            own_runs: How many of the counted runs belong to the caller of this method.
        """
        record = self._records.get(digest)
        if record is None or now_s - record.last_s > RETENTION_S:
            return Verdict(True)
        crashes = len(self._attributed(record))
        refused_s = record.last_s + self._refusal_s(digest, record) - now_s
        if refused_s > 0:
            return Verdict(False, refused_s, crashes)
        if crashes >= HOLD_CRASHES and self._running[digest] > own_runs:
            return Verdict(False, SOLO_RETRY_S, crashes)
        return Verdict(True, crashes=crashes)

    def start(self, digest: str) -> None:
        """Counts a request as running until `end` is called."""
        self._running[digest] += 1

    def end(self, digest: str) -> None:
        """Ends a run that was started."""
        self._running[digest] -= 1
        if self._running[digest] <= 0:
            del self._running[digest]

    def record_crash(self, digests: Collection[str], replica: str, at_s: float) -> list[str]:
        """Records that a replica ended while it ran requests.

        Returns:
            The requests that may not run any more since.
        """
        return self._add({digest: [(replica, at_s)] for digest in digests})

    def record_response(self, digest: str, now_s: float) -> None:
        """Records that a replica responded to a request completely."""
        record = self._records.get(digest)
        if record is not None:
            record.clear(now_s)

    def share(self, now_s: float) -> dict[str, Suspicion]:
        """Returns what other entries should know, of the requests with the most crashes."""
        self._forget_old(now_s)
        told = [
            (digest, record)
            for digest, record in self._records.items()
            if len(record.crashes) > 1 or now_s - record.last_s < SINGLE_SHARED_S
        ]
        newest = heapq.nlargest(
            MAX_SHARED, told, key=lambda item: (len(item[1].crashes), item[1].last_s)
        )
        return {digest: _suspicion(record, now_s) for digest, record in newest}

    def adopt(self, told: Mapping[str, Suspicion], now_s: float) -> list[str]:
        """Adds what another entry knows; returns the requests that may not run any more since."""
        for digest, suspicion in told.items():
            if suspicion.cleared_age_s is not None:
                self._touch(digest).clear(now_s - suspicion.cleared_age_s)
        return self._add(
            {
                digest: [(crash.replica, now_s - crash.age_s) for crash in suspicion.crashes]
                for digest, suspicion in told.items()
            }
        )

    def _add(self, crashes: Mapping[str, list[tuple[str, float]]]) -> list[str]:
        stopped = []
        for digest, told in crashes.items():
            record = self._touch(digest)
            added = [crash for crash in told if record.is_news(crash)]
            if not added:
                continue  # Entries repeat what they know; only news costs the time of a decision.
            was_refused = self._is_refused(digest)
            for crash in added:
                record.add(crash)
            if not was_refused and self._is_refused(digest):
                stopped.append(digest)
        return stopped

    def _attributed(self, record: _Record) -> list[tuple[str, float]]:
        """Returns the crashes that no request explains which has ended more replicas."""
        count = len(record.crashes)
        stronger = [r for r in self._records.values() if len(r.crashes) > count] if count else []
        return [crash for crash in record.crashes if not any(r.has(crash) for r in stronger)]

    def _refusal_s(self, digest: str, record: _Record) -> float:
        """Returns for how long after its last crash a request is refused, in seconds."""
        crashes = self._attributed(record)
        if len(crashes) < HOLD_CRASHES:
            return 0.0
        is_shared = any(
            other != digest and all(found.has(crash) for crash in crashes)
            for other, found in self._records.items()
            if len(found.crashes) >= len(crashes)
        )
        if is_shared:
            return RETENTION_S if len(crashes) >= MAX_SHARED_CRASHES else 0.0
        # Two crashes that no other request explains make the shared ones count as well.
        return RETENTION_S if len(record.crashes) >= MAX_CRASHES else HOLD_S

    def _is_refused(self, digest: str) -> bool:
        record = self._records.get(digest)
        return record is not None and self._refusal_s(digest, record) > 0

    def _touch(self, digest: str) -> _Record:
        record = self._records.setdefault(digest, _Record())
        self._records.move_to_end(digest)
        while len(self._records) > MAX_REQUESTS:
            self._drop_one()
        return record

    def _drop_one(self) -> None:
        """Drops the oldest request that may still run, or the oldest of all."""
        runnable = (d for d, r in self._records.items() if len(r.crashes) < MAX_CRASHES)
        del self._records[next(runnable, next(iter(self._records)))]

    def _forget_old(self, now_s: float) -> None:
        old = [d for d, r in self._records.items() if now_s - r.last_s > RETENTION_S]
        for digest in old:
            del self._records[digest]


def _suspicion(record: _Record, now_s: float) -> Suspicion:
    crashes = tuple(Crash(replica, now_s - at_s) for replica, at_s in record.crashes)
    cleared_age_s = now_s - record.cleared_s if record.cleared_s > float("-inf") else None
    return Suspicion(crashes, cleared_age_s)
