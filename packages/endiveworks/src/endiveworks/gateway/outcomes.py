"""Tells servers that fail most of their requests from those that serve them.

A server that fails requests at once is never busy, so a choice by load alone sends it ever more.
What counts against it is that many different requests fail there while others serve theirs; one
request that is repeated says little of the server. A failing server gets single requests as trials
until it serves again.
"""

from collections import deque
from collections.abc import Collection, Mapping
from enum import Enum
from typing import NamedTuple

FAILURE_WEIGHT = 0.25  # Weight of the first failure of a request in the moving average.
SUCCESS_WEIGHT = 0.25  # Weight of a request that was served.
TRIAL_SUCCESS_WEIGHT = 0.5  # Few requests reach a failing server, so each success counts more.
FAILING_SHARE = 0.5  # Share of failures from which a server counts as failing.
SOUND_SHARE = 0.15  # Share of failures below which it no longer does.
# A failing server is avoided if it fails this many times as often as those that are not failing.
MIN_CONTRAST_FACTOR = 2.0
# Failures whose requests are remembered, to recognize repetitions.
MAX_REMEMBERED = 32
MAX_COUNTED_REPEATS = 8  # Further repetitions of a request don't count at all.
MIN_TRIAL_PAUSE_S = 0.25  # Pause before the next trial of a server after a success.
MAX_TRIAL_PAUSE_S = 2.0  # The same after failures; it doubles with each up to this.
# Trials of all servers of a service that may fail, as a share of the requests of this process.
MAX_FAILED_TRIAL_SHARE = 0.05
MIN_TRIALS_PER_S = 0.1  # So that a server is tried again when there are few requests.

# Weight of a failure at a server that fails requests of other processes as well.
TOLD_FAILURE_WEIGHT = 0.5
SIGHTING_AGE_S = 3.0  # Age up to which another process's sighting counts.
SPREAD_S = 0.5  # Time over which processes spread the trials after one has found a server sound.

ERROR_SHARE = 1.0  # Part of a failure that counts against the server.
# The same of one that the request itself may have caused: a rejection, or its deadline.
DOUBTFUL_ERROR_SHARE = 0.6


class Source(NamedTuple):
    """The origin of a request.

    Attributes:
        program: Id of its program; empty for none.
        digest: Hash that its repetitions have in common; empty if unknown.
    """

    program: str
    digest: str = ""


UNKNOWN_SOURCE = Source("")


class Sighting(NamedTuple):
    """What a process has found of a server.

    Attributes:
        is_failing: Whether the server fails the requests of that process.
        age_s: Time since it was found, in seconds.
    """

    is_failing: bool
    age_s: float


class Trial(Enum):
    """Whether a request may be used as a trial of a failing server."""

    NEVER = 0
    LATE = 1  # Only while no other request has been used for a while.
    DUE = 2


class _Seen(NamedTuple):
    is_failing: bool
    at_s: float


_NOTHING_SEEN = _Seen(False, float("-inf"))


class Outcomes:
    """Outcomes of the requests that this process has sent to one server.

    Attributes:
        failure_share: Moving average of failures among the outcomes, 0 to 1.
        is_failing: Whether the server fails too many of its requests.
    """

    def __init__(self) -> None:
        self.failure_share = 0.0
        self.is_failing = False
        self._failed: deque[Source] = deque(maxlen=MAX_REMEMBERED)
        self._pause_s = MIN_TRIAL_PAUSE_S
        self._next_trial_s = 0.0
        self._failing_since_s = 0.0
        self._seen = _NOTHING_SEEN

    def record_success(self, now_s: float, sent_s: float | None = None) -> bool:
        """Records a request that the server has served; returns whether is_failing has changed.

        Args:
            now_s: Monotonic time.
            sent_s: Monotonic time at which it was sent; None for now. One that was sent before the
                server failed others says nothing of it now.
        """
        if self.is_failing and sent_s is not None and sent_s < self._failing_since_s:
            return False
        weight = TRIAL_SUCCESS_WEIGHT if self.is_failing else SUCCESS_WEIGHT
        self.failure_share -= weight * self.failure_share
        if not self.is_failing:
            return False
        self._pause_s = MIN_TRIAL_PAUSE_S
        self._next_trial_s = min(self._next_trial_s, now_s + MIN_TRIAL_PAUSE_S)
        self.is_failing = self.failure_share >= SOUND_SHARE
        if not self.is_failing:
            self._failed.clear()
            self._seen = _Seen(False, now_s)
        return not self.is_failing

    def record_failure(self, source: Source, now_s: float, severity: float = ERROR_SHARE) -> bool:
        """Records a request that the server has failed; returns whether is_failing has changed.

        Args:
            source: Where the request comes from.
            now_s: Monotonic time.
            severity: Part of the failure that counts, 0 to 1.
        """
        weight = self._weight(source, now_s)
        self._failed.append(source)
        self.failure_share += weight * max(0.0, severity - self.failure_share)
        if self.failure_share < FAILING_SHARE:
            return False
        self._seen = _Seen(True, now_s)
        if self.is_failing:
            return False
        self.is_failing = True
        self._failing_since_s = now_s
        self._pause_s = MIN_TRIAL_PAUSE_S
        self._next_trial_s = now_s + MIN_TRIAL_PAUSE_S
        return True

    @property
    def is_seen_failing(self) -> bool:
        """Whether the newest finding of any process is that the server fails its requests."""
        return self._seen.is_failing

    def trial_age_s(self, trial: Trial, now_s: float) -> float:
        """Returns how long a trial has been due, in seconds; negative if none is."""
        if trial is Trial.NEVER or not self.is_failing:
            return -1.0
        return now_s - self._next_trial_s - (self._pause_s if trial is Trial.LATE else 0.0)

    def start_trial(self, now_s: float, jitter: float) -> None:
        """Records that a trial is sent.

        Args:
            now_s: Monotonic time.
            jitter: Random number from 0 to 1, so that processes don't send trials together.
        """
        self._pause_s = min(MAX_TRIAL_PAUSE_S, 2 * self._pause_s)
        self._next_trial_s = now_s + self._pause_s * (0.75 + 0.5 * jitter)

    def sighting(self, now_s: float) -> Sighting | None:
        """Returns what other processes should know; None if there is nothing recent."""
        age_s = now_s - self._seen.at_s
        return Sighting(self._seen.is_failing, age_s) if age_s < SIGHTING_AGE_S else None

    def adopt(self, sighting: Sighting, now_s: float, jitter: float) -> None:
        """Takes over what another process has found, if it is newer.

        It decides nothing by itself, since a server may fail the requests of some processes only:
        one that others find failing takes fewer failures here, and one that they find sound is
        tried soon.

        Args:
            sighting: What was found.
            now_s: Monotonic time.
            jitter: Random number from 0 to 1, so that processes don't send trials together.
        """
        at_s = now_s - sighting.age_s
        if at_s <= self._seen.at_s:
            return
        self._seen = _Seen(sighting.is_failing, at_s)
        if self.is_failing and not sighting.is_failing:
            self._next_trial_s = min(self._next_trial_s, now_s + SPREAD_S * jitter)

    def _weight(self, source: Source, now_s: float) -> float:
        """Returns the weight of a failure.

        Repetitions of one request lose weight with the square of their number, so that their sum
        never makes a server failing. Requests of one program may have a cause in common.
        """
        of_program = sum(1 for s in self._failed if s.program and s.program == source.program)
        repeated = sum(1 for s in self._failed if s.digest and s.digest == source.digest)
        if repeated >= MAX_COUNTED_REPEATS:
            return 0.0
        told = self._seen.is_failing and now_s - self._seen.at_s < SIGHTING_AGE_S
        first = TOLD_FAILURE_WEIGHT if told and not repeated else FAILURE_WEIGHT
        return first / max(1 + of_program, (1 + repeated) ** 2)


class TrialBudget:
    """Bounds the trials of all failing servers of a service to a share of its requests."""

    def __init__(self) -> None:
        self._credit = 1.0
        self._updated_s = 0.0

    def record_request(self, now_s: float) -> None:
        """Counts a request of the service."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        earned = max(MAX_FAILED_TRIAL_SHARE, MIN_TRIALS_PER_S * elapsed_s)
        self._credit = min(1.0, self._credit + earned)

    def take(self) -> bool:
        """Returns whether a trial may be sent, and counts it."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def give_back(self) -> None:
        """Gives back a trial that has been served."""
        self._credit = 1.0


def avoided(servers: Mapping[str, Outcomes], excluded: Collection[str]) -> frozenset[str]:
    """Returns the failing servers that a request should not be sent to.

    None is avoided if all others are excluded, or fail about as often: then the requests, or
    something that the servers have in common, cause the failures.

    Args:
        servers: Outcomes of the servers of a service by name.
        excluded: Servers that the request can't be sent to anyway.
    """
    sound = [o.failure_share for name, o in servers.items() if not o.is_failing]
    usable = any(not o.is_failing for name, o in servers.items() if name not in excluded)
    if not usable:
        return frozenset()
    typical = sum(sound) / len(sound)
    return frozenset(
        name
        for name, o in servers.items()
        if o.is_failing and o.failure_share >= MIN_CONTRAST_FACTOR * typical
    )


def due_trial(
    servers: Mapping[str, Outcomes], trial: Trial, now_s: float, far: Collection[str] = ()
) -> str:
    """Returns the server whose trial has been due for longest; empty for none.

    Args:
        servers: Outcomes of the servers of a service by name.
        trial: Whether the request may be used as a trial.
        now_s: Monotonic time.
        far: Servers that are left to processes nearer to them for a while.
    """
    ages = {
        name: o.trial_age_s(trial, now_s) - (MAX_TRIAL_PAUSE_S if name in far else 0.0)
        for name, o in servers.items()
        if o.is_failing
    }
    name = max(ages, key=lambda n: ages[n], default="")
    return name if name and ages[name] >= 0 else ""
