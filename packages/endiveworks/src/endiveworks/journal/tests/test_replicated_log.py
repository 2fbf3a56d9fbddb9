from endiveworks.errors import Code
from endiveworks.journal.tests.fake_hosts import FakeHost, FakeTable
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
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

    def test_no_acknowledgement_while_the_set_is_unsettled(self) -> None:
        table = table_of("a", "b")
        log = table.take_over().unwrap().opened.log
        table.hosts["b"].up = False
        table.up = False
        fut = log.append([b"1"])
        table.run_repairs()
        assert fut.result(0).unwrap() == 1

    def test_last_copy_is_never_dropped(self) -> None:
        table = table_of("a", "b")
        log = table.take_over().unwrap().opened.log
        table.hosts["a"].up = table.hosts["b"].up = False
        fut = log.append([b"1"])
        table.run_repairs()
        assert not isinstance(fut.result(0), Success)
        assert len(table.copies) == 2


class TestRepair:
    def test_new_copy_has_everything_before_it_is_in_the_set(self) -> None:
        table = table_of("a", "b", "c")
        replica = table.take_over().unwrap()
        replica.opened.log.append([b"1", b"2", b"3"])
        table.hosts["b"].up = False
        replica.opened.log.append([b"4"])
        table.run_repairs()
        assert [copy.host for copy in table.copies] == ["a", "c"]
        assert table.hosts["c"].records == table.hosts["a"].records
        replica.opened.log.append([b"5"])
        table.hosts["a"].up = False
        assert list(table.take_over().unwrap().opened.records) == [b"1", b"2", b"3", b"4", b"5"]

    def test_wiped_copy_is_not_trusted_and_filled_again(self) -> None:
        table = table_of("a", "b")
        table.take_over().unwrap().opened.log.append([b"1"])
        table.hosts["a"].wipe()
        replica = table.take_over().unwrap()
        assert list(replica.opened.records) == [b"1"]
        replica.check()
        table.run_repairs()
        assert [copy.folder for copy in table.copies] == ["a-folder-2", "b-folder-1"]
        assert table.hosts["a"].records == table.hosts["b"].records

    def test_all_copies_wiped_is_an_error(self) -> None:
        table = table_of("a", "b")
        table.take_over().unwrap().opened.log.append([b"1"])
        table.hosts["a"].wipe()
        table.hosts["b"].wipe()
        assert table.take_over().failure().code is Code.STORAGE

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


class Partition(RuleBasedStateMachine):
    """Owners come and go while hosts fail; every owner sees all that was acknowledged."""

    @initialize()
    def begin(self) -> None:
        self.table = table_of("a", "b", "c")
        self.logs = []
        self.acked: list[bytes] = []
        self.seen: list[bytes] = []
        self.count = 0
        self.waiting = []

    @rule()
    def take_over(self) -> None:
        opened = self.table.take_over()
        if not isinstance(opened, Success):
            return
        replica = opened.unwrap()
        records = list(replica.opened.records)
        missing = [record for record in self.acked if record not in records]
        assert not missing
        assert records[: len(self.seen)] == self.seen
        self.seen = records
        self.logs = [*self.logs[-2:], replica]

    @rule(which=st.integers(0, 2), size=st.integers(1, 3))
    def append(self, which: int, size: int) -> None:
        if not self.logs:
            return
        self.count += 1
        records = [b"%d.%d" % (self.count, part) for part in range(size)]
        log = self.logs[which % len(self.logs)].opened.log
        self.waiting.append((records, log.append(records)))

    @rule(host=st.sampled_from("abc"), up=st.booleans())
    def reach(self, host: str, up: bool) -> None:
        self.table.hosts[host].up = up

    @rule(host=st.sampled_from("abc"), loses=st.booleans())
    def lose_answers(self, host: str, loses: bool) -> None:
        self.table.hosts[host].loses_answers = loses

    @rule(host=st.sampled_from("abc"))
    def wipe(self, host: str) -> None:
        others = [copy for copy in self.table.copies if copy.host != host]
        if any(self.table.hosts[copy.host].folder == copy.folder for copy in others):
            self.table.hosts[host].wipe()

    @rule(up=st.booleans())
    def table_outage(self, up: bool) -> None:
        self.table.up = up

    @rule(which=st.integers(0, 2))
    def repair(self, which: int) -> None:
        if self.logs:
            self.logs[which % len(self.logs)].check()
        self.table.run_repairs()

    @invariant()
    def note_acknowledged(self) -> None:
        for records, fut in getattr(self, "waiting", []):
            if fut.done() and isinstance(fut.result(0), Success):
                self.acked += [record for record in records if record not in self.acked]


Partition.TestCase.settings = settings(
    derandomize=True, max_examples=300, stateful_step_count=30, deadline=None, database=None
)


class TestPartition(Partition.TestCase):
    """Runs the state machine."""
