"""Model test: in any order of writes, losses and view changes, committed records stay readable."""

from endiveworks.turns.view import (
    Disk,
    View,
    all_disks,
    disks_to_sync,
    is_read_quorum,
    is_recovery_quorum,
    is_write_quorum,
)
from endiveworks.turns.view_change import DiskStatus, next_view
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

TOLERANCE = 1
HOSTS = ("a", "b", "c", "d")


class _Write:
    """A write in progress, under the view that its writer has cached."""

    def __init__(self, record: int, view: View) -> None:
        self.record = record
        self.view = view
        self.synced: set[str] = set()


class QuorumModel(RuleBasedStateMachine):
    """Writers with stale views, disks that are lost one at a time, and spares that catch up."""

    @initialize()
    def start(self) -> None:
        self.disks = {name: Disk(name, name + "0", name, name, "east") for name in HOSTS}
        self.held: dict[str, set[int]] = {d.folder: set() for d in self.disks.values()}
        self.epochs: dict[str, int] = {d.folder: 0 for d in self.disks.values()}
        # Epochs that a disk has synced, as it does before it lists its records for a reader.
        self.synced_epochs = dict(self.epochs)
        self.view = View(1, TOLERANCE, tuple(self.disks[name] for name in HOSTS[:3]))
        self.views = [self.view]
        self.writes: list[_Write] = []
        self.committed: set[int] = set()
        self.records = 0

    @rule(age=st.integers(0, 3))
    def begin_write(self, age: int) -> None:
        self.records += 1
        self.writes.append(_Write(self.records, self.views[max(0, len(self.views) - 1 - age)]))

    @precondition(lambda self: self.writes)
    @rule(data=st.data())
    def sync_write(self, data: st.DataObject) -> None:
        write = data.draw(st.sampled_from(self.writes))
        disk = data.draw(st.sampled_from(all_disks(write.view)))
        if disk.folder not in self.held or self.epochs[disk.folder] > write.view.epoch:
            return
        self.held[disk.folder].add(write.record)
        write.synced.add(disk.folder)
        if is_write_quorum(write.view, write.synced):
            self.committed.add(write.record)

    @precondition(lambda self: all(d.folder in self.held for d in self._needed()))
    @rule(name=st.sampled_from(HOSTS))
    def lose_disk(self, name: str) -> None:
        old = self.disks[name]
        new = old._replace(folder=name + str(int(old.folder[1:]) + 1))
        del self.held[old.folder], self.epochs[old.folder], self.synced_epochs[old.folder]
        self.held[new.folder], self.epochs[new.folder] = set(), 0
        self.synced_epochs[new.folder] = 0
        self.disks[name] = new

    @rule(name=st.sampled_from(HOSTS))
    def restart_disk(self, name: str) -> None:
        """Ends the process of a disk, which knows no view until it is told again."""
        self._forget(self.disks[name].folder)

    @rule(name=st.sampled_from(HOSTS))
    def notify_disk(self, name: str) -> None:
        """Tells a disk the current view, which it keeps in memory only."""
        self.epochs[self.disks[name].folder] = self.view.epoch

    @rule(wiped=st.sampled_from(["", *HOSTS]))
    def lose_power(self, wiped: str) -> None:
        """All disks and writers lose power at once; one disk may come back empty."""
        self.writes.clear()
        for disk in self.disks.values():
            self._forget(disk.folder)
        if wiped and all(d.folder in self.held for d in self._needed()):
            self.lose_disk(wiped)

    @rule(
        leaving=st.sets(st.sampled_from(HOSTS), max_size=1),
        unresponsive=st.sets(st.sampled_from(HOSTS), max_size=2),
    )
    def change_view(self, leaving: set[str], unresponsive: set[str]) -> None:
        """Applies a change proposed by a host to which some other hosts don't respond.

        Writers may still reach those hosts.
        """
        statuses = {
            name: DiskStatus(disk, unresponsive=name in unresponsive)
            for name, disk in self.disks.items()
        }
        proposed = next_view(self.view, statuses, leaving)
        if proposed is not None:
            self._adopt(proposed)

    @precondition(lambda self: self.view.incoming)
    @rule(data=st.data(), sources=st.permutations(HOSTS))
    def catch_up(self, data: st.DataObject, sources: list[str]) -> None:
        reader = data.draw(st.sampled_from(disks_to_sync(self.view)))
        if reader.folder not in self.held:
            return
        members = {disk.host: disk for disk in self.view.members}
        responded = {reader.folder} & {disk.folder for disk in self.view.members}
        for name in sources:
            if name not in members or members[name].folder not in self.held:
                continue
            if is_recovery_quorum(self.view, responded):
                break
            folder = members[name].folder
            self.epochs[folder] = max(self.epochs[folder], self.view.epoch)
            self.synced_epochs[folder] = self.epochs[folder]
            self.held[reader.folder] |= self.held[folder]
            responded.add(folder)
        if is_recovery_quorum(self.view, responded) and reader.folder not in self.view.synced:
            self._adopt(self.view._replace(synced=(*self.view.synced, reader.folder)))

    @invariant()
    def committed_records_are_read(self) -> None:
        """Holds for readers with any earlier view, unless the disks refuse that view."""
        for view in getattr(self, "views", ()):
            responding = [
                disk.folder
                for disk in view.members
                if disk.folder in self.held and self.epochs[disk.folder] <= view.epoch
            ]
            for record in self.committed:
                lacking = {name for name in responding if record not in self.held[name]}
                assert not is_read_quorum(view, lacking), f"a read can miss record {record}"

    def _needed(self) -> tuple[Disk, ...]:
        """Returns the disks that must all have their data before another one is lost."""
        return (*self.view.members, *self.view.incoming)

    def _forget(self, folder: str) -> None:
        self.epochs[folder] = self.synced_epochs[folder]

    def _adopt(self, view: View) -> None:
        self.view = view
        self.views.append(view)


QuorumModel.TestCase.settings = settings(max_examples=300, stateful_step_count=60, deadline=None)
TestQuorumModel = QuorumModel.TestCase
