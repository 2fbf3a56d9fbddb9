"""Registration of this process: its host record in the key-value service, bound to a lease."""

import enum
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from ..kvservice.kv import KeyValue, Kv, Swap
from .member import Member
from .registry import HOSTS_PREFIX, decode_member, encode_member

_NO_LEASE = 0


class RegistrationState(enum.StrEnum):
    """The state of this process's registration."""

    NEW = "new"
    REGISTERED = "registered"
    LAPSED = "lapsed"
    SUPERSEDED = "superseded"


class Registration(NamedTuple):
    """The registration of this process.

    Attributes:
        member: The desired content of the host record.
        ttl_s: Time to live of the lease, in seconds.
        state: State of the registration. SUPERSEDED is final: another process registered under
            the same name later, so this one must not reclaim the name.
        lease: Lease id; 0 before the first grant and after the lease has lapsed.
        stored: The member last written successfully; None if the stored one is unknown.
    """

    member: Member
    ttl_s: int
    state: RegistrationState = RegistrationState.NEW
    lease: int = _NO_LEASE
    stored: Member | None = None


class RenewalResult(NamedTuple):
    """The registration after a renewal, and the failure if the renewal is incomplete."""

    registration: Registration
    failure: Failure | None = None


def renew(kv: Kv, registration: Registration) -> RenewalResult:
    """Renews the lease and writes the host record if needed; call it every ttl_s / 3.

    A lapsed lease is replaced and the record written again. Each step can safely be repeated, so
    a lost response delays completion by one call.
    """
    if registration.state is RegistrationState.SUPERSEDED:
        return RenewalResult(registration)
    if registration.lease:
        renewed = kv.keep_alive(registration.lease)
        if not isinstance(renewed, Success):
            return RenewalResult(registration, renewed.failure())
        if renewed.unwrap() > 0 and registration.stored == registration.member:
            return RenewalResult(registration)
        if renewed.unwrap() == 0:
            registration = registration._replace(
                lease=_NO_LEASE, stored=None, state=RegistrationState.LAPSED
            )
    if not registration.lease:
        granted = kv.grant_lease(registration.ttl_s)
        if not isinstance(granted, Success):
            return RenewalResult(registration, granted.failure())
        registration = registration._replace(lease=granted.unwrap())
    return _write_record(kv, registration)


def deregister(kv: Kv, registration: Registration) -> Result[None, Failure]:
    """Deletes the host record unless it belongs to another process."""
    key = HOSTS_PREFIX + registration.member.host
    found = kv.read(key)
    if not isinstance(found, Success):
        return Err(found.failure())
    entry = found.unwrap()
    if entry is None or not _is_own(registration, entry):
        return Success(None)
    return kv.swap(Swap(key, None, entry.mod_revision)).map(lambda _: None)


def _write_record(kv: Kv, registration: Registration) -> RenewalResult:
    key = HOSTS_PREFIX + registration.member.host
    found = kv.read(key)
    if not isinstance(found, Success):
        return RenewalResult(registration, found.failure())
    entry = found.unwrap()
    if entry is not None and not _may_replace(registration, entry):
        return RenewalResult(registration._replace(state=RegistrationState.SUPERSEDED))
    expected = entry.mod_revision if entry is not None else 0
    value = encode_member(registration.member)
    swapped = kv.swap(Swap(key, value, expected, registration.lease))
    if not isinstance(swapped, Success):
        return _handle_failed_write(registration, swapped.failure())
    if not swapped.unwrap().done:
        detail = "the host record changed between the read and the write"
        return RenewalResult(registration, Failure(Code.CONFLICT, "members.renew", "", detail))
    registered = registration._replace(
        state=RegistrationState.REGISTERED, stored=registration.member
    )
    return RenewalResult(registered)


def _handle_failed_write(registration: Registration, failure: Failure) -> RenewalResult:
    """Drops the lease if the service refused the write, because the lease may be the reason."""
    refused = failure.code is Code.UPSTREAM_FAILED
    lease = _NO_LEASE if refused else registration.lease
    return RenewalResult(registration._replace(lease=lease, stored=None), failure)


def _may_replace(registration: Registration, entry: KeyValue) -> bool:
    """Tells whether to replace a record: at first any, afterwards only one of this process."""
    return registration.state is RegistrationState.NEW or _is_own(registration, entry)


def _is_own(registration: Registration, entry: KeyValue) -> bool:
    member = decode_member(entry.value)
    return member is not None and member.incarnation == registration.member.incarnation
