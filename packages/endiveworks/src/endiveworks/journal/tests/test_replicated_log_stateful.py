from typing import NamedTuple

from endiveworks.journal.tests.fake_hosts import FakeHost, FakeTable
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

HOSTS = "abc"


class Faults(NamedTuple):
    """Unreachable hosts, hosts whose replies are dropped, and the fault of the table."""

    down: str
    drops: str
    table: str


class TakeOver(NamedTuple):
    faults: Faults


class Append(NamedTuple):
    owner: int
    size: int
    faults: Faults


class Repair(NamedTuple):
    owner: int
    faults: Faults


class Redeliver(NamedTuple):
    host: str
    steps_back: int


class Wipe(NamedTuple):
    host: str


some_hosts = st.sampled_from(["", "", "", "", "a", "b", "c", "ab", "ac", "bc"])
table_faults = st.sampled_from(["", "", "drops one reply", "hangs before", "hangs after"])
faults = st.builds(Faults, some_hosts, some_hosts, table_faults)
one_host = st.sampled_from(HOSTS)
owners = st.sampled_from([-1, -1, -1, -2, -3])
appends = st.builds(Append, owners, st.integers(1, 2), faults)
steps = st.one_of(
    appends,
    appends,
    st.builds(TakeOver, faults),
    st.builds(Repair, owners, faults),
    st.builds(Redeliver, one_host, st.integers(1, 15)),
    st.builds(Wipe, one_host),
)


class Partition:
    """Runs steps and checks that every owner reads all acknowledged records."""

    def __init__(self) -> None:
        self.table = FakeTable([FakeHost(name) for name in HOSTS])
        self.owners = []
        self.pending_appends = []
        self.acked: list[bytes] = []
        self.last_read: list[bytes] = []
        self.count = 0

    def run(self, step) -> None:
        match step:
            case TakeOver(faults):
                self.take_over(faults)
            case Append(owner, size, faults):
                self.append(owner, size, faults)
            case Repair(owner, faults):
                self.repair(owner, faults)
            case Redeliver(host, steps_back):
                self.redeliver(host, steps_back)
            case Wipe(host):
                self.wipe(host)
        self.record_acknowledged()

    def take_over(self, faults: Faults) -> None:
        self.set_faults(faults._replace(table=faults.table.replace("hangs", "")))
        outcome = self.table.take_over()
        if not isinstance(outcome, Success):
            return
        self.set_faults(Faults("", "", ""))
        records = list(outcome.unwrap().opened.records)
        assert [record for record in self.acked if record not in records] == []
        assert records[: len(self.last_read)] == self.last_read
        self.last_read = records
        self.owners.append(outcome.unwrap())

    def append(self, owner: int, size: int, faults: Faults) -> None:
        if len(self.owners) < -owner:
            return
        self.set_faults(faults)
        self.count += 1
        records = [b"%d.%d" % (self.count, part) for part in range(size)]
        log = self.owners[owner].opened.log
        self.pending_appends.append((records, log.append(records)))

    def repair(self, owner: int, faults: Faults) -> None:
        self.set_faults(faults)
        if len(self.owners) >= -owner:
            self.owners[owner].start_repair()
        self.table.run_repairs()

    def redeliver(self, host: str, steps_back: int) -> None:
        received = self.table.hosts[host].received
        if steps_back <= len(received):
            self.table.hosts[host].handle(*received[-steps_back])

    def wipe(self, host: str) -> None:
        """Empties a folder, unless it holds the last intact copy of the set."""
        others = [copy for copy in self.table.copies if copy.host != host]
        if any(self.table.hosts[copy.host].copy == copy for copy in others):
            self.table.hosts[host].wipe()

    def record_acknowledged(self) -> None:
        pending = []
        for records, fut in self.pending_appends:
            if not fut.done():
                pending.append((records, fut))
            elif isinstance(fut.result(0), Success):
                self.acked += records
        self.pending_appends = pending

    def set_faults(self, faults: Faults) -> None:
        for host in self.table.hosts.values():
            host.up = host.name not in faults.down
            host.drops_replies = host.name in faults.drops
        self.table.fault = faults.table


class TestPartition:
    @settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @given(st.lists(steps, min_size=15, max_size=40))
    def test_owners_read_all_acknowledged_records(self, plan) -> None:
        partition = Partition()
        partition.take_over(Faults("", "", ""))
        for step in plan:
            partition.run(step)
        partition.take_over(Faults("", "", ""))
