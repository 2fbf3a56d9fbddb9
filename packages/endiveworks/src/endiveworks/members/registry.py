"""Host entries in the key-value service."""

import msgspec
from returns.result import Result

from ..errors import Failure
from ..kvservice.kv import Kv
from .member import Member

HOSTS_PREFIX = "/endiveworks/hosts/"


def read_members(kv: Kv) -> Result[tuple[Member, ...], Failure]:
    """Returns every host that has an entry; entries that can't be read are left out."""
    return kv.read_prefix(HOSTS_PREFIX).map(
        lambda snapshot: tuple(
            member for entry in snapshot.entries if (member := decode_member(entry.value))
        )
    )


def encode_member(member: Member) -> bytes:
    """Returns the JSON form of a member."""
    return msgspec.json.encode(member)


def decode_member(data: bytes) -> Member | None:
    """Returns the member in JSON bytes, or None when they can't be read."""
    try:
        return msgspec.json.decode(data, type=Member)
    except msgspec.DecodeError:
        return None
