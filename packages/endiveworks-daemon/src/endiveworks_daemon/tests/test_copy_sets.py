from typing import Any, cast

from endiveworks.journal.peer import CopyId
from endiveworks.members.member import Member
from endiveworks.ownership.record import OwnerId, PartitionRecord
from endiveworks.ownership.table import VersionedRecord
from endiveworks.ownership.table_cache import TableCache
from endiveworks_daemon.copy_sets import CopySetContext, is_movable

LOCAL_COPY = CopyId("a", "fa")
UNUSED = cast(Any, None)


def member(host: str, draining: bool = False) -> Member:
    return Member(host, "", "entry", "", "r", f"d-{host}", 1, True, draining, folder=f"f{host}")


def context(copies: tuple[str, ...], hosts: str) -> CopySetContext:
    ids = tuple(CopyId(host, f"f{host}") for host in copies)
    table = TableCache()
    table.put(0, VersionedRecord(PartitionRecord(0, OwnerId("z", 1), 3, ids, 1), 5))
    members = {host: member(host, draining=host == "a") for host in hosts}
    return CopySetContext(UNUSED, table, UNUSED, lambda: members, "r")


class TestIsMovable:
    def test_true_if_another_host_can_store_the_copy(self) -> None:
        assert is_movable(context(("a", "b"), "abc"), LOCAL_COPY)

    def test_true_while_the_set_has_a_surplus_copy(self) -> None:
        assert is_movable(context(("a", "b", "c"), "abc"), LOCAL_COPY)

    def test_false_without_another_host(self) -> None:
        assert not is_movable(context(("a", "b"), "ab"), LOCAL_COPY)

    def test_false_after_removal_from_the_set(self) -> None:
        assert not is_movable(context(("b", "c"), "abc"), LOCAL_COPY)
