"""What a process believes of the others, from entries, direct signals and the platform's list."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..kvservice.host_list import LEAVING, ListedHost
from ..kvservice.kv import Change, Snapshot
from .member import Member
from .registry import HOSTS_PREFIX, decode_member

# Time for a live host to register again after its lease has lapsed.
GRACE_S = 5.0
_FIRST_SUSPICION_S = 1.0
_LONGEST_SUSPICION_S = 16.0
_MAX_DOUBLINGS = 4
_UNKNOWN = 0


class Suspicion(NamedTuple):
    """Failed contacts with one incarnation of a host, and the monotonic end in seconds."""

    incarnation: int
    failures: int
    until_s: float


class View(NamedTuple):
    """The state of one process's belief.

    Attributes:
        revision: Revision of the key-value service up to which entries are known.
        members: Hosts by name, as their entries say.
        vanished: Monotonic time in seconds at which a host's entry went without another.
        suspicions: Hosts that did not answer, by name.
        draining: Incarnation of each host that said itself that it is leaving.
        leaving: Incarnation of each host that the platform's list gives as leaving or gone.
        listed: Hosts that the list has named as live.
    """

    revision: int = 0
    members: Mapping[str, Member] = {}
    vanished: Mapping[str, float] = {}
    suspicions: Mapping[str, Suspicion] = {}
    draining: Mapping[str, int] = {}
    leaving: Mapping[str, int] = {}
    listed: frozenset[str] = frozenset()


def loaded(view: View, snapshot: Snapshot, now_s: float) -> View:
    """Returns the view after reading all entries; hosts without one are kept for the grace."""
    read = [member for entry in snapshot.entries if (member := decode_member(entry.value))]
    present = {member.host: member for member in read}
    gone = {host for host in view.members if host not in present}
    vanished = {host: view.vanished.get(host, now_s) for host in gone}
    members = {**{host: view.members[host] for host in gone}, **present}
    return view._replace(revision=snapshot.revision, members=members, vanished=vanished)


def changed(view: View, changes: Iterable[Change], now_s: float) -> View:
    """Returns the view after changes that a watch has reported."""
    members, vanished = dict(view.members), dict(view.vanished)
    revision = view.revision
    for change in changes:
        revision = max(revision, change.mod_revision)
        host = change.key.removeprefix(HOSTS_PREFIX)
        member = decode_member(change.value) if change.value is not None else None
        if member is not None:
            members[host] = member
            vanished.pop(host, None)
        elif change.value is None and host in members:
            _vanish(members, vanished, host, now_s)
    return view._replace(revision=revision, members=members, vanished=vanished)


def expired(view: View, now_s: float) -> View:
    """Returns the view without the hosts whose entry went longer ago than the grace."""
    over = {host for host, since_s in view.vanished.items() if now_s - since_s >= GRACE_S}
    if not over:
        return view
    members = {host: member for host, member in view.members.items() if host not in over}
    vanished = {host: since_s for host, since_s in view.vanished.items() if host not in over}
    return view._replace(members=members, vanished=vanished)


def unanswered(view: View, host: str, incarnation: int, now_s: float) -> View:
    """Returns the view after a contact failed: a refused connection or a missed heartbeat."""
    last = view.suspicions.get(host)
    failures = last.failures + 1 if last and last.incarnation == incarnation else 1
    doubled_s = _FIRST_SUSPICION_S * 2.0 ** min(failures - 1, _MAX_DOUBLINGS)
    suspicion = Suspicion(incarnation, failures, now_s + min(doubled_s, _LONGEST_SUSPICION_S))
    return view._replace(suspicions={**view.suspicions, host: suspicion})


def answered(view: View, host: str, incarnation: int, draining: bool) -> View:
    """Returns the view after a host answered; one that said it is leaving stays so."""
    suspicions = {name: found for name, found in view.suspicions.items() if name != host}
    said = {**view.draining, host: incarnation} if draining else view.draining
    return view._replace(suspicions=suspicions, draining=said)


def listed(view: View, hosts: Iterable[ListedHost]) -> View:
    """Returns the view after the platform's list was read.

    The list lags and knows no incarnations, so a mark holds only for the incarnation that was
    known when the mark appeared: a host that came back since is not held back by it.
    """
    states = {listed_host.host: listed_host.state for listed_host in hosts}
    marked = {host for host, state in states.items() if state == LEAVING}
    marked |= {host for host in view.listed if host not in states}
    leaving = {host: view.leaving.get(host, _incarnation(view, host)) for host in marked}
    live = frozenset(host for host, state in states.items() if state != LEAVING)
    return view._replace(leaving=leaving, listed=(view.listed & marked) | live)


def members(view: View) -> Mapping[str, Member]:
    """Returns the hosts by name, with draining set from every source."""
    return {host: _with_draining(view, member) for host, member in view.members.items()}


def usable(view: View, now_s: float) -> Mapping[str, Member]:
    """Returns the hosts that take new work, as far as is known."""
    return {
        host: member
        for host, member in members(view).items()
        if not member.draining and not _suspected(view, member, now_s)
    }


def _vanish(
    members_: dict[str, Member], vanished: dict[str, float], host: str, now_s: float
) -> None:
    """Notes a deleted entry; a host that was leaving is gone at once."""
    if members_[host].draining:
        del members_[host]
        vanished.pop(host, None)
    else:
        vanished.setdefault(host, now_s)


def _with_draining(view: View, member: Member) -> Member:
    said = view.draining.get(member.host) == member.incarnation
    marked = view.leaving.get(member.host) == member.incarnation
    return member._replace(draining=True) if said or marked else member


def _suspected(view: View, member: Member, now_s: float) -> bool:
    found = view.suspicions.get(member.host)
    return found is not None and found.incarnation == member.incarnation and now_s < found.until_s


def _incarnation(view: View, host: str) -> int:
    member = view.members.get(host)
    return member.incarnation if member is not None else _UNKNOWN
