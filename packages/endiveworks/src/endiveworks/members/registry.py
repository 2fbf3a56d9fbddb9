"""Host records in the key-value service."""

import msgspec
from returns.result import Result

from ..decoding import DECODE_ERRORS, checked_address, checked_integer
from ..errors import Failure
from ..kvservice.kv import Kv
from .member import Member

HOSTS_PREFIX = "/endiveworks/hosts/"


def read_members(kv: Kv) -> Result[tuple[Member, ...], Failure]:
    """Returns the member of each host record; records that can't be decoded are skipped."""
    return kv.read_prefix(HOSTS_PREFIX).map(
        lambda snapshot: tuple(
            member for entry in snapshot.entries if (member := decode_member(entry.value))
        )
    )


def encode_member(member: Member) -> bytes:
    """Returns a member encoded as JSON."""
    return msgspec.json.encode(member)


def decode_member(data: bytes) -> Member | None:
    """Decodes a member from JSON; returns None if the data is invalid."""
    try:
        member = msgspec.json.decode(data, type=Member)
        checked_address(member.address)
        checked_integer(member.incarnation, 0)
        return member
    except DECODE_ERRORS:
        return None
