from typing import Any, cast

from endiveworks.journal.peer import CopyId
from endiveworks.members.member import Member
from endiveworks.ownership.record import OwnerId, PartitionRecord
from endiveworks.ownership.table import VersionedRecord
from endiveworks.ownership.table_cache import TableCache
from endiveworks_daemon.copy_sets import CopySets, is_movable

HERE = CopyId("a", "fa")
UNUSED = cast(Any, None)


def member(host: str, draining: bool = False) -> Member:
    return Member(host, "", "entry", "", "r", f"d-{host}", 1, True, draining, folder=f"f{host}")


def sets(copies: tuple[str, ...], hosts: str) -> CopySets:
    ids = tuple(CopyId(host, f"f{host}") for host in copies)
    view = TableCache()
    view.put(0, VersionedRecord(PartitionRecord(0, OwnerId("z", 1), 3, ids, 1), 5))
    members = {host: member(host, draining=host == "a") for host in hosts}
    return CopySets(UNUSED, view, UNUSED, lambda: members, "r")


class TestIsMovable:
    def test_while_another_host_could_keep_the_copy(self) -> None:
        assert is_movable(sets(("a", "b"), "abc"), HERE)

    def test_until_a_copy_that_has_been_made_elsewhere_is_taken_out(self) -> None:
        assert is_movable(sets(("a", "b", "c"), "abc"), HERE)

    def test_not_without_another_host(self) -> None:
        assert not is_movable(sets(("a", "b"), "ab"), HERE)

    def test_not_once_the_copy_is_out_of_the_set(self) -> None:
        assert not is_movable(sets(("b", "c"), "abc"), HERE)
