"""Prefixes held in one engine: leases of their programs, expiry, release and reconciliation."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

# Longer than the period in which owners renew.
UNKNOWN_GRACE_S = 15.0


class Lease(NamedTuple):
    """A program's right to engine memory.

    Attributes:
        epoch: Epoch of the owner that renewed it last.
        expires_s: Time after which the memory is released.
    """

    epoch: int
    expires_s: float


class Holds(NamedTuple):
    """Leases by program, and prefixes without one by the time they were first seen."""

    leases: Mapping[str, Lease] = {}
    unknown: Mapping[str, float] = {}


class Sweep(NamedTuple):
    """The holds after a sweep, and the programs whose memory is to be released."""

    holds: Holds
    release: tuple[str, ...]


class Renewal(NamedTuple):
    """A program's owner asks to keep its memory for longer."""

    program: str
    epoch: int
    expires_s: float


def renew(holds: Holds, renewals: Iterable[Renewal]) -> Holds:
    """Extends leases; an older epoch than the last changes nothing."""
    leases = dict(holds.leases)
    for program, epoch, expires_s in renewals:
        known = leases.get(program)
        if known is None or epoch >= known.epoch:
            leases[program] = Lease(epoch, expires_s)
    return holds._replace(leases=leases)


def end(holds: Holds, program: str, epoch: int) -> Sweep:
    """Ends a lease at its owner's word; an older epoch than the last changes nothing."""
    known = holds.leases.get(program)
    if known is not None and epoch < known.epoch:
        return Sweep(holds, ())
    return Sweep(_without(holds, {program}), (program,))


def reconcile(holds: Holds, cached: Iterable[str], now_s: float) -> Sweep:
    """Compares the leases with the engine's own list of cached programs.

    The list decides, since cache events come late and with gaps: whatever it names without a
    lease in force is released, after a grace in which the owner of a program that this process
    does not know, because it has restarted, can renew.
    """
    listed = set(cached)
    lapsed = {name for name, lease in holds.leases.items() if lease.expires_s <= now_s}
    leases = {name: lease for name, lease in holds.leases.items() if name not in lapsed}
    stray = listed - leases.keys()
    unknown = {name: holds.unknown.get(name, now_s) for name in stray - lapsed}
    overdue = {name for name, seen_s in unknown.items() if now_s - seen_s >= UNKNOWN_GRACE_S}
    kept = {name: seen_s for name, seen_s in unknown.items() if name not in overdue}
    return Sweep(Holds(leases, kept), tuple(sorted(lapsed | overdue)))


def _without(holds: Holds, programs: set[str]) -> Holds:
    leases = {name: lease for name, lease in holds.leases.items() if name not in programs}
    unknown = {name: seen_s for name, seen_s in holds.unknown.items() if name not in programs}
    return Holds(leases, unknown)
