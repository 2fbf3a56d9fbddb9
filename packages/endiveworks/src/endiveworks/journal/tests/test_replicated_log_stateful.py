from typing import NamedTuple

from endiveworks.journal.tests.fake_hosts import FakeHost, FakeTable
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

HOSTS = "abc"


class Faults(NamedTuple):
    """Hosts cut off, hosts whose answers are lost, and what the table does meanwhile."""

    down: str
    loses: str
    table: str


class TakeOver(NamedTuple):
    faults: Faults


class Append(NamedTuple):
    which: int
    size: int
    faults: Faults


class Repair(NamedTuple):
    which: int
    faults: Faults


class DeliverAgain(NamedTuple):
    host: str
    back: int


class Wipe(NamedTuple):
    host: str


some_hosts = st.sampled_from(["", "", "", "", "a", "b", "c", "ab", "ac", "bc"])
table_faults = st.sampled_from(["", "", "loses one answer", "hangs before", "hangs after"])
faults = st.builds(Faults, some_hosts, some_hosts, table_faults)
one_host = st.sampled_from(HOSTS)
owners = st.sampled_from([-1, -1, -1, -2, -3])
appends = st.builds(Append, owners, st.integers(1, 2), faults)
steps = st.one_of(
    appends,
    appends,
    st.builds(TakeOver, faults),
    st.builds(Repair, owners, faults),
    st.builds(DeliverAgain, one_host, st.integers(1, 15)),
    st.builds(Wipe, one_host),
)


class Partition:
    """Runs steps and checks that every owner reads all that was acknowledged."""

    def __init__(self) -> None:
        self.table = FakeTable([FakeHost(name) for name in HOSTS])
        self.owners = []
        self.waiting = []
        self.acked: list[bytes] = []
        self.seen: list[bytes] = []
        self.count = 0

    def run(self, step) -> None:
        match step:
            case TakeOver(faults):
                self.take_over(faults)
            case Append(which, size, faults):
                self.append(which, size, faults)
            case Repair(which, faults):
                self.repair(which, faults)
            case DeliverAgain(host, back):
                self.deliver_again(host, back)
            case Wipe(host):
                self.wipe(host)
        self.note_acknowledged()

    def take_over(self, faults: Faults) -> None:
        self.set_faults(faults._replace(table=faults.table.replace("hangs", "")))
        outcome = self.table.take_over()
        if not isinstance(outcome, Success):
            return
        self.set_faults(Faults("", "", ""))
        records = list(outcome.unwrap().opened.records)
        assert [record for record in self.acked if record not in records] == []
        assert records[: len(self.seen)] == self.seen
        self.seen = records
        self.owners.append(outcome.unwrap())

    def append(self, which: int, size: int, faults: Faults) -> None:
        if len(self.owners) < -which:
            return
        self.set_faults(faults)
        self.count += 1
        records = [b"%d.%d" % (self.count, part) for part in range(size)]
        log = self.owners[which].opened.log
        self.waiting.append((records, log.append(records)))

    def repair(self, which: int, faults: Faults) -> None:
        self.set_faults(faults)
        if len(self.owners) >= -which:
            self.owners[which].check()
        self.table.run_repairs()

    def deliver_again(self, host: str, back: int) -> None:
        received = self.table.hosts[host].received
        if back <= len(received):
            self.table.hosts[host].handle(*received[-back])

    def wipe(self, host: str) -> None:
        """Empties a folder, unless no whole copy of the set would be left."""
        others = [copy for copy in self.table.copies if copy.host != host]
        if any(self.table.hosts[copy.host].copy == copy for copy in others):
            self.table.hosts[host].wipe()

    def note_acknowledged(self) -> None:
        still = []
        for records, fut in self.waiting:
            if not fut.done():
                still.append((records, fut))
            elif isinstance(fut.result(0), Success):
                self.acked += records
        self.waiting = still

    def set_faults(self, faults: Faults) -> None:
        for host in self.table.hosts.values():
            host.up = host.name not in faults.down
            host.loses_answers = host.name in faults.loses
        self.table.fault = faults.table


class TestPartition:
    @settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @given(st.lists(steps, min_size=15, max_size=40))
    def test_owners_read_all_that_was_acknowledged(self, plan) -> None:
        partition = Partition()
        partition.take_over(Faults("", "", ""))
        for step in plan:
            partition.run(step)
        partition.take_over(Faults("", "", ""))
