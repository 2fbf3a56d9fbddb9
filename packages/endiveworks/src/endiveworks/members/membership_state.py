"""Membership state of a process: host records, its own requests and the platform's host list."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..kvservice.host_list import LEAVING, ListedHost
from ..kvservice.kv import Change, Snapshot
from .member import Member
from .registry import HOSTS_PREFIX, decode_member

# Time for a live host to register again after its lease has lapsed.
REREGISTRATION_GRACE_S = 5.0
_BASE_SUSPICION_S = 1.0
_MAX_SUSPICION_S = 16.0
_MAX_DOUBLINGS = 4
_UNKNOWN_INCARNATION = 0


class Suspicion(NamedTuple):
    """Suspicion of one incarnation of a host after refused connections or missed heartbeats.

    Attributes:
        incarnation: The suspected incarnation.
        failures: Number of such failures in a row.
        until_s: Monotonic time in seconds at which the suspicion ends.
    """

    incarnation: int
    failures: int
    until_s: float


class MembershipState(NamedTuple):
    """The membership as one process tracks it.

    Attributes:
        revision: Revision of the key-value service up to which host records were read.
        members: Members by host, as their host records describe them.
        missing_since_s: Monotonic time in seconds at which a host's record was deleted without a
            replacement.
        suspicions: Suspicions of hosts that did not respond, by host.
        draining: Incarnation of each host that itself reported that it is draining.
        leaving: Incarnation of each host that is leaving or missing according to the platform's
            list.
        listed_live: Hosts that the list has reported as live.
    """

    revision: int = 0
    members: Mapping[str, Member] = {}
    missing_since_s: Mapping[str, float] = {}
    suspicions: Mapping[str, Suspicion] = {}
    draining: Mapping[str, int] = {}
    leaving: Mapping[str, int] = {}
    listed_live: frozenset[str] = frozenset()


def apply_snapshot(state: MembershipState, snapshot: Snapshot, now_s: float) -> MembershipState:
    """Returns the state after reading all host records.

    A member whose record is missing is kept for REREGISTRATION_GRACE_S.
    """
    decoded = [member for entry in snapshot.entries if (member := decode_member(entry.value))]
    present = {member.host: member for member in decoded}
    missing = {host for host in state.members if host not in present}
    missing_since_s = {host: state.missing_since_s.get(host, now_s) for host in missing}
    members = {**{host: state.members[host] for host in missing}, **present}
    return state._replace(
        revision=snapshot.revision, members=members, missing_since_s=missing_since_s
    )


def apply_changes(
    state: MembershipState, changes: Iterable[Change], now_s: float
) -> MembershipState:
    """Returns the state after changes reported by a watch."""
    members, missing_since_s = dict(state.members), dict(state.missing_since_s)
    revision = state.revision
    for change in changes:
        revision = max(revision, change.mod_revision)
        host = change.key.removeprefix(HOSTS_PREFIX)
        member = decode_member(change.value) if change.value is not None else None
        if member is not None:
            members[host] = member
            missing_since_s.pop(host, None)
        elif change.value is None and host in members:
            _handle_deletion(members, missing_since_s, host, now_s)
    return state._replace(revision=revision, members=members, missing_since_s=missing_since_s)


def remove_expired(state: MembershipState, now_s: float) -> MembershipState:
    """Returns the state without members whose record has been missing for the grace period."""
    expired = {
        host
        for host, since_s in state.missing_since_s.items()
        if now_s - since_s >= REREGISTRATION_GRACE_S
    }
    if not expired:
        return state
    members = {host: member for host, member in state.members.items() if host not in expired}
    missing_since_s = {
        host: since_s for host, since_s in state.missing_since_s.items() if host not in expired
    }
    return state._replace(members=members, missing_since_s=missing_since_s)


def record_failure(
    state: MembershipState, host: str, incarnation: int, now_s: float
) -> MembershipState:
    """Returns the state after a refused connection or a missed heartbeat.

    Each failure in a row doubles the time for which the host is suspected.
    """
    previous = state.suspicions.get(host)
    failures = previous.failures + 1 if previous and previous.incarnation == incarnation else 1
    duration_s = _BASE_SUSPICION_S * 2.0 ** min(failures - 1, _MAX_DOUBLINGS)
    suspicion = Suspicion(incarnation, failures, now_s + min(duration_s, _MAX_SUSPICION_S))
    return state._replace(suspicions={**state.suspicions, host: suspicion})


def record_success(
    state: MembershipState, host: str, incarnation: int, draining: bool
) -> MembershipState:
    """Returns the state after a response of a host; a host that was draining remains so."""
    suspicions = {name: found for name, found in state.suspicions.items() if name != host}
    draining_hosts = {**state.draining, host: incarnation} if draining else state.draining
    return state._replace(suspicions=suspicions, draining=draining_hosts)


def apply_host_list(state: MembershipState, hosts: Iterable[ListedHost]) -> MembershipState:
    """Returns the state after the platform's list was read.

    The list lags and has no incarnations. A host that it reports as leaving is therefore drained
    only in the incarnation that was registered when the list first reported it: a later one still
    gets work.
    """
    statuses = {listed_host.host: listed_host.state for listed_host in hosts}
    reported = {host for host, status in statuses.items() if status == LEAVING}
    reported |= {host for host in state.listed_live if host not in statuses}
    leaving = {host: state.leaving.get(host, _incarnation_of(state, host)) for host in reported}
    live = frozenset(host for host, status in statuses.items() if status != LEAVING)
    return state._replace(leaving=leaving, listed_live=(state.listed_live & reported) | live)


def members(state: MembershipState) -> Mapping[str, Member]:
    """Returns the members by host, with draining set from every source."""
    return {host: _with_draining(state, member) for host, member in state.members.items()}


def usable(state: MembershipState, now_s: float) -> Mapping[str, Member]:
    """Returns the members by host that are neither draining nor suspected."""
    return {
        host: member
        for host, member in members(state).items()
        if not member.draining and not _is_suspected(state, member, now_s)
    }


def _handle_deletion(
    members_by_host: dict[str, Member], missing_since_s: dict[str, float], host: str, now_s: float
) -> None:
    """Records the deletion of a host record; a draining member is removed at once."""
    if members_by_host[host].draining:
        del members_by_host[host]
        missing_since_s.pop(host, None)
    else:
        missing_since_s.setdefault(host, now_s)


def _with_draining(state: MembershipState, member: Member) -> Member:
    is_draining = state.draining.get(member.host) == member.incarnation
    is_leaving = state.leaving.get(member.host) == member.incarnation
    return member._replace(draining=True) if is_draining or is_leaving else member


def _is_suspected(state: MembershipState, member: Member, now_s: float) -> bool:
    suspicion = state.suspicions.get(member.host)
    return (
        suspicion is not None
        and suspicion.incarnation == member.incarnation
        and now_s < suspicion.until_s
    )


def _incarnation_of(state: MembershipState, host: str) -> int:
    member = state.members.get(host)
    return member.incarnation if member is not None else _UNKNOWN_INCARNATION
