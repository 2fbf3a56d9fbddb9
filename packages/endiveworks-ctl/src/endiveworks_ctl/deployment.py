"""The processes that a command asks: as the key-value service lists them, or as named."""

from endiveworks.errors import Failure
from endiveworks.kvservice.etcd import connect
from endiveworks.kvservice.kv import Kv
from endiveworks.members.member import Member
from endiveworks.members.registry import read_members
from endiveworks.settings.flags import Values
from returns.result import Result, Success


def open_kv(values: Values) -> Kv:
    """Returns access to the key-value service of the settings."""
    return connect(values.text("kv"), values.number("timeout_s"))


def find_members(values: Values) -> Result[tuple[Member, ...], Failure]:
    """Returns the members with --admins alone, else all that the key-value service lists."""
    named = values.text("admins")
    if named:
        return Success(tuple(_named(part.strip()) for part in named.split(",")))
    return read_members(open_kv(values))


def _named(address: str) -> Member:
    return Member(address, "", "", "", "", "", 0, admin=address)
