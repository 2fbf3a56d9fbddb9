"""The lease-backed entry of this process in the key-value service."""

import enum
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from ..kvservice.kv import Entry, Kv, Swap
from .member import Member
from .registry import HOSTS_PREFIX, decode_member, encode_member

_NO_LEASE = 0


class Standing(enum.StrEnum):
    """How this process stands in the deployment."""

    NEW = "new"
    REGISTERED = "registered"
    LAPSED = "lapsed"
    SUPERSEDED = "superseded"


class Registration(NamedTuple):
    """The entry of this process.

    Attributes:
        member: What the entry says.
        ttl_s: Time to live of the lease, in seconds.
        standing: How this process stands. SUPERSEDED is final: another process registered under
            the same name later, so this one must not take the name back.
        lease: Lease id; 0 before the first grant and after a lapse.
        written: What the key-value service is known to hold; None when not known.
    """

    member: Member
    ttl_s: int
    standing: Standing = Standing.NEW
    lease: int = _NO_LEASE
    written: Member | None = None


class Renewal(NamedTuple):
    """The registration after a renewal, and the failure that kept it from being complete."""

    registration: Registration
    failure: Failure | None = None


def renew(kv: Kv, registration: Registration) -> Renewal:
    """Renews the lease and writes the entry where needed; call it every third of the lease.

    A lapsed lease is replaced and the entry written again. Every step may be repeated, so that
    an answer that was lost costs one more round.
    """
    if registration.standing is Standing.SUPERSEDED:
        return Renewal(registration)
    if registration.lease:
        kept = kv.keep_alive(registration.lease)
        if not isinstance(kept, Success):
            return Renewal(registration, kept.failure())
        if kept.unwrap() > 0 and registration.written == registration.member:
            return Renewal(registration)
        if kept.unwrap() == 0:
            registration = registration._replace(
                lease=_NO_LEASE, written=None, standing=Standing.LAPSED
            )
    if not registration.lease:
        granted = kv.grant_lease(registration.ttl_s)
        if not isinstance(granted, Success):
            return Renewal(registration, granted.failure())
        registration = registration._replace(lease=granted.unwrap())
    return _write(kv, registration)


def withdraw(kv: Kv, registration: Registration) -> Result[None, Failure]:
    """Deletes the entry if it is this process's own."""
    key = HOSTS_PREFIX + registration.member.host
    found = kv.read(key)
    if not isinstance(found, Success):
        return Err(found.failure())
    entry = found.unwrap()
    if entry is None or not _is_own(registration, entry):
        return Success(None)
    return kv.swap(Swap(key, None, entry.mod_revision)).map(lambda _: None)


def _write(kv: Kv, registration: Registration) -> Renewal:
    key = HOSTS_PREFIX + registration.member.host
    found = kv.read(key)
    if not isinstance(found, Success):
        return Renewal(registration, found.failure())
    entry = found.unwrap()
    if entry is not None and not _may_replace(registration, entry):
        return Renewal(registration._replace(standing=Standing.SUPERSEDED))
    expected = entry.mod_revision if entry is not None else 0
    value = encode_member(registration.member)
    swapped = kv.swap(Swap(key, value, expected, registration.lease))
    if not isinstance(swapped, Success):
        return _unwritten(registration, swapped.failure())
    if not swapped.unwrap().done:
        detail = "the entry has changed meanwhile"
        return Renewal(registration, Failure(Code.CONFLICT, "members.renew", "", detail))
    done = registration._replace(standing=Standing.REGISTERED, written=registration.member)
    return Renewal(done)


def _unwritten(registration: Registration, failure: Failure) -> Renewal:
    """Gives up the lease when the service refused the write, since the lease may be the reason."""
    refused = failure.code is Code.UPSTREAM_FAILED
    lease = _NO_LEASE if refused else registration.lease
    return Renewal(registration._replace(lease=lease, written=None), failure)


def _may_replace(registration: Registration, entry: Entry) -> bool:
    """A process takes its name over when it starts, and afterwards only from itself."""
    return registration.standing is Standing.NEW or _is_own(registration, entry)


def _is_own(registration: Registration, entry: Entry) -> bool:
    member = decode_member(entry.value)
    return member is not None and member.incarnation == registration.member.incarnation
