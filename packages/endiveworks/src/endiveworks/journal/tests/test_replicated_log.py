from collections.abc import Callable

from endiveworks.errors import Code
from endiveworks.journal.copy_state import Reset
from endiveworks.journal.tests.fake_hosts import PARTITION, FakeHost, FakeTable, SimulatedHangError
from endiveworks.links.link_share import LinkShare
from returns.result import Success


def table_of(*names: str) -> FakeTable:
    return FakeTable([FakeHost(name) for name in names])


class TestAppend:
    def test_waits_for_every_copy(self) -> None:
        table = table_of("a", "b")
        log = table.take_over().unwrap().opened.log
        table.hosts["b"].up = False
        fut = log.append([b"1"])
        assert not fut.done()
        table.run_repairs()
        assert fut.result(0).unwrap() == 1
        assert [copy.host for copy in table.copies] == ["a"]

    def test_paused_owner_is_refused(self) -> None:
        table = table_of("a", "b")
        old = table.take_over().unwrap().opened.log
        table.take_over().unwrap()
        assert old.append([b"late"]).result(0).failure().code is Code.STALE_EPOCH
        assert [failure.code for failure in table.losses] == [Code.STALE_EPOCH]

    def test_paused_owner_can_not_shrink_the_set(self) -> None:
        table = table_of("a", "b")
        old = table.take_over().unwrap().opened.log
        table.epoch += 1
        table.hosts["b"].up = False
        fut = old.append([b"late"])
        table.run_repairs()
        assert fut.result(0).failure().code is Code.STALE_EPOCH
        assert len(table.copies) == 2

    def test_change_with_a_lost_reply_is_retried(self) -> None:
        table = table_of("a", "b")
        log = table.take_over().unwrap().opened.log
        table.hosts["b"].up = False
        table.fault = "drops one reply"
        fut = log.append([b"1"])
        table.run_repairs()
        assert fut.result(0).unwrap() == 1

    def test_last_copy_is_never_removed(self) -> None:
        table = table_of("a", "b")
        log = table.take_over().unwrap().opened.log
        table.hosts["a"].up = table.hosts["b"].up = False
        fut = log.append([b"1"])
        table.run_repairs()
        assert not isinstance(fut.result(0), Success)
        assert len(table.copies) == 2


class TestTakeover:
    def test_other_copy_catches_up_with_the_longest(self) -> None:
        table = table_of("a", "b")
        log = table.take_over().unwrap().opened.log
        table.hosts["a"].up = False
        log.append([b"1", b"2", b"3"])
        table.hosts["a"].up = True
        assert list(table.take_over().unwrap().opened.records) == [b"1", b"2", b"3"]
        assert table.hosts["a"].records == table.hosts["b"].records
        assert len(table.copies) == 2

    def test_wiped_copy_is_not_trusted_and_refilled(self) -> None:
        table = table_of("a", "b")
        table.take_over().unwrap().opened.log.append([b"1"])
        table.hosts["a"].wipe()
        replicated = table.take_over().unwrap()
        assert list(replicated.opened.records) == [b"1"]
        replicated.start_repair()
        table.run_repairs()
        assert table.copies == (table.hosts["a"].copy, table.hosts["b"].copy)
        assert table.hosts["a"].records == table.hosts["b"].records

    def test_takeover_fails_if_all_copies_were_wiped(self) -> None:
        table = table_of("a", "b")
        table.take_over().unwrap().opened.log.append([b"1"])
        table.hosts["a"].wipe()
        table.hosts["b"].wipe()
        assert table.take_over().failure().code is Code.STORAGE


class TestRepair:
    def test_new_copy_has_all_entries_before_it_joins_the_set(self) -> None:
        table = table_of("a", "b", "c")
        log = table.take_over().unwrap().opened.log
        log.append([b"1", b"2", b"3"])
        table.hosts["b"].up = False
        log.append([b"4"])
        table.run_repairs()
        assert [copy.host for copy in table.copies] == ["a", "c"]
        assert table.hosts["c"].records == table.hosts["a"].records
        log.append([b"5"])
        table.hosts["a"].up = False
        assert list(table.take_over().unwrap().opened.records) == [b"1", b"2", b"3", b"4", b"5"]

    def test_copy_on_a_leaving_host_is_replaced_before_removal(self) -> None:
        table = table_of("a", "b", "c")
        replicated = table.take_over().unwrap()
        replicated.opened.log.append([b"1"])
        table.leaving = "a"
        changes = []
        change = table._change
        table._change = lambda epoch, copies: changes.append(copies) or change(epoch, copies)
        replicated.start_repair()
        table.run_repairs()
        hosts = ["".join(copy.host for copy in copies) for copies in changes]
        assert hosts == ["abc", "bc"]
        assert table.hosts["c"].records == table.hosts["b"].records

    def test_copy_that_fails_while_a_new_one_is_throttled_blocks_no_append(self) -> None:
        table = table_of("a", "b", "c")
        replicated = table.take_over().unwrap()
        log = replicated.opened.log
        log.append([b"1"])
        appended = []

        class BusyLink(LinkShare):
            """A link without budget: filling a copy waits until it is stopped."""

            def wait(self, size: int, should_continue: Callable[[], bool] = lambda: True) -> bool:
                table.hosts["b"].up = False
                appended.append(log.append([b"2"]))
                if should_continue():
                    raise SimulatedHangError
                return False

        table.link = BusyLink(1.0)
        table.leaving = "a"
        replicated.start_repair()
        table.run_repairs()
        assert appended[0].result(0).unwrap() == 2
        assert [copy.host for copy in table.copies] == ["a"]

    def test_copy_on_a_full_disk_is_replaced(self) -> None:
        table = table_of("a", "b", "c")
        log = table.take_over().unwrap().opened.log
        table.hosts["a"].disk_full = True
        fut = log.append([b"1"])
        table.run_repairs()
        assert fut.result(0).unwrap() == 1
        assert [copy.host for copy in table.copies] == ["b", "c"]

    def test_snapshot_is_copied(self) -> None:
        table = table_of("a", "b", "c")
        log = table.take_over().unwrap().opened.log
        log.append([b"1", b"2"])
        log.snapshot([b"1+2"])
        log.append([b"3"])
        table.hosts["b"].up = False
        log.append([b"4"])
        table.run_repairs()
        table.hosts["a"].up = False
        assert list(table.take_over().unwrap().opened.records) == [b"1+2", b"3", b"4"]

    def test_delayed_reset_does_not_empty_a_copy(self) -> None:
        table = table_of("a", "b", "c")
        log = table.take_over().unwrap().opened.log
        log.append([b"1"])
        table.hosts["b"].up = False
        log.append([b"2"])
        table.run_repairs()
        added = table.hosts["c"]
        held = dict(added.records)
        for folder, req in list(added.received):
            added.handle(folder, req)
        assert added.records == held
        older = Reset(PARTITION, table.epoch, added.state.generation - 1, 1)
        assert added.handle(added.copy.folder, older).failure().code is Code.CONFLICT

    def test_appends_wait_for_a_copy_that_may_have_joined_the_set(self) -> None:
        table = table_of("a", "b", "c")
        replicated = table.take_over().unwrap()
        table.hosts["b"].up = False
        replicated.opened.log.append([b"1"])
        changes = []

        def change(epoch, copies):
            changes.append(copies)
            table.copies = copies
            if len(changes) == 2:
                raise SimulatedHangError
            return Success(None)

        table._change = change
        table.run_repairs()
        assert [copy.host for copy in table.copies] == ["a", "c"]
        table.hosts["c"].up = False
        assert not replicated.opened.log.append([b"2"]).done()
