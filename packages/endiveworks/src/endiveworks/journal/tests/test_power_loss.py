"""Kills and losses of power: what was read or acknowledged stays, and no folder is damaged."""

import os
import tempfile
from pathlib import Path

from endiveworks.journal.copy_state import Append, Reset
from endiveworks.journal.segments import WriteCalls
from endiveworks.journal.store import Store, open_store
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from returns.result import Success

PARTITION = 3
SEGMENT_BYTES = 400  # Segments of a few records, so that they are rotated and compacted.


class SimulatedHost:
    """A host whose process can be killed before a sync, and whose power can fail.

    Attributes:
        held: Records of the copy that were acknowledged, or read after a start.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.held: list[bytes] = []
        self._synced: dict[int, bytes] = {}
        self._is_killed = False
        self._store: Store | None = None
        self.start()

    def start(self) -> None:
        """Starts the process and reads what the folder holds."""
        self._is_killed = False
        calls = WriteCalls(sync=self._sync)
        opened = open_store(self.folder, "d1", calls, SEGMENT_BYTES)
        assert isinstance(opened, Success), opened
        self._store = opened.unwrap()
        if self._store.state(PARTITION) is None:
            assert not self.held, "the copy is gone"
            self._store.submit(Reset(PARTITION, 1, 1, 1)).result(10).unwrap()
        records = list(self._store.fetch(PARTITION, 1, 10**9).unwrap().records)
        assert records[: len(self.held)] == self.held
        self.held = records

    def append(self, data: bytes) -> None:
        """Appends a record that the host acknowledges."""
        assert self._store is not None
        self._store.submit(self._request(data)).result(10).unwrap()
        self.held.append(data)

    def kill_during(self, data: bytes) -> None:
        """Kills the process after it wrote a record and before it synced it."""
        assert self._store is not None
        self._is_killed = True
        assert not isinstance(self._store.submit(self._request(data)).result(10), Success)

    def stop(self) -> None:
        """Ends the process."""
        if self._store is not None:
            self._store.close()
            self._store = None

    def lose_power(self, kept: int = 0) -> None:
        """Ends the process; of the bytes not synced, each file keeps only the first ones."""
        self.stop()
        for path in self.folder.glob("*.wal"):
            synced = len(self._synced.get(path.stat().st_ino, b""))
            os.truncate(path, min(path.stat().st_size, synced + kept))

    def _request(self, data: bytes) -> Append:
        return Append(PARTITION, 1, len(self.held) + 1, [data])

    def _sync(self, fd: int) -> None:
        if self._is_killed:
            raise OSError("the process is gone")
        self._synced[os.fstat(fd).st_ino] = os.pread(fd, os.fstat(fd).st_size, 0)


class TestPowerLoss:
    def test_a_tail_written_before_a_kill_is_synced_before_it_is_read(self, tmp_path) -> None:
        host = SimulatedHost(tmp_path)
        host.append(b"first")
        host.kill_during(b"second")
        host.stop()
        host.start()
        assert host.held == [b"first", b"second"]
        host.lose_power()
        host.start()
        assert host.held == [b"first", b"second"]
        host.stop()


class PowerLossModel(RuleBasedStateMachine):
    """One host, whose process is killed and whose power fails at any time."""

    @initialize()
    def start(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.host = SimulatedHost(Path(self.folder.name))
        self.count = 0

    @rule()
    def append(self) -> None:
        self.host.append(self._next())

    @rule()
    def restart(self) -> None:
        self.host.stop()
        self.host.start()

    @rule()
    def kill(self) -> None:
        self.host.kill_during(self._next())
        self.host.stop()
        self.host.start()

    @rule(kept=st.integers(0, 120), is_writing=st.booleans())
    def lose_power(self, kept: int, is_writing: bool) -> None:
        if is_writing:
            self.host.kill_during(self._next())
        self.host.lose_power(kept)
        self.host.start()

    def _next(self) -> bytes:
        self.count += 1
        return str(self.count).encode() * 10

    def teardown(self) -> None:
        if hasattr(self, "host"):
            self.host.stop()
            self.folder.cleanup()


PowerLossModel.TestCase.settings = settings(max_examples=60, stateful_step_count=25, deadline=None)
TestPowerLossModel = PowerLossModel.TestCase
