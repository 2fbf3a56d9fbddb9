import errno
from pathlib import Path

import pytest
from endiveworks.errors import Code
from endiveworks.journal.api import OpenLog
from endiveworks.journal.copy_state import Append, Reset
from endiveworks.journal.file_log import Journal, open_journal
from endiveworks.journal.memory_log import open_memory_logs
from endiveworks.journal.segments import WriteCalls
from endiveworks.journal.store import open_store
from returns.result import Failure as Err
from returns.result import Success


def journal_in(folder: Path) -> Journal:
    return open_journal(folder, "d1").unwrap()


def append(open_log: OpenLog, epoch: int, *records: bytes) -> int:
    opened = open_log(3, epoch).unwrap()
    return opened.log.append(records).result(10).unwrap()


@pytest.fixture(params=["memory", "file"])
def open_log(request, tmp_path):
    if request.param == "memory":
        yield open_memory_logs()
        return
    journal = journal_in(tmp_path)
    yield journal.open_log
    journal.close()


class TestLogs:
    def test_reads_back_in_order_at_a_higher_epoch(self, open_log) -> None:
        assert append(open_log, 1, b"a", b"b") == 2
        assert append(open_log, 2, b"c") == 3
        opened = open_log(3, 3).unwrap()
        assert (list(opened.records), opened.last_index) == ([b"a", b"b", b"c"], 3)

    def test_refuses_the_old_epoch(self, open_log) -> None:
        old = open_log(3, 1).unwrap().log
        open_log(3, 2).unwrap()
        assert old.append([b"late"]).result(10).failure().code is Code.STALE_EPOCH
        assert open_log(3, 1).failure().code is Code.STALE_EPOCH
        assert list(open_log(3, 3).unwrap().records) == []

    def test_empty_append_confirms_the_epoch(self, open_log) -> None:
        log = open_log(3, 1).unwrap().log
        assert isinstance(log.append([]).result(10), Success)
        open_log(3, 2).unwrap()
        assert log.append([]).result(10).failure().code is Code.STALE_EPOCH
        assert list(open_log(3, 3).unwrap().records) == []

    def test_snapshot_replaces_the_records_it_covers(self, open_log) -> None:
        log = open_log(3, 1).unwrap().log
        log.append([b"a", b"b"])
        log.snapshot([b"ab"]).result(10).unwrap()
        log.append([b"c"]).result(10)
        assert list(open_log(3, 2).unwrap().records) == [b"ab", b"c"]


class TestRestart:
    def test_reads_back_acknowledged_records(self, tmp_path) -> None:
        journal = journal_in(tmp_path)
        append(journal.open_log, 1, b"a", b"b")
        journal.close()
        journal = journal_in(tmp_path)
        assert list(journal.open_log(3, 2).unwrap().records) == [b"a", b"b"]
        assert journal.open_log(3, 1).failure().code is Code.STALE_EPOCH
        journal.close()

    def test_truncates_a_torn_tail(self, tmp_path) -> None:
        journal = journal_in(tmp_path)
        append(journal.open_log, 1, b"first")
        append(journal.open_log, 2, b"second")
        journal.close()
        last = max(tmp_path.glob("*.wal"))
        last.write_bytes(last.read_bytes()[:-3])
        journal = journal_in(tmp_path)
        assert list(journal.open_log(3, 3).unwrap().records) == [b"first"]
        journal.close()

    def test_reports_damage_to_synced_records(self, tmp_path) -> None:
        journal = journal_in(tmp_path)
        append(journal.open_log, 1, b"first")
        append(journal.open_log, 2, b"second")
        journal.close()
        last = max(tmp_path.glob("*.wal"))
        last.write_bytes(last.read_bytes().replace(b"first", b"fjrst"))
        assert open_journal(tmp_path, "d1").failure().code is Code.CORRUPT

    def test_reports_damage_to_an_older_segment(self, tmp_path) -> None:
        journal = journal_in(tmp_path)
        append(journal.open_log, 1, b"first")
        journal.close()
        journal_in(tmp_path).close()
        first = min(tmp_path.glob("*.wal"))
        first.write_bytes(first.read_bytes()[:-3])
        assert open_journal(tmp_path, "d1").failure().code is Code.CORRUPT


class TestFolder:
    def test_empty_folder_gets_another_id(self, tmp_path) -> None:
        ids = set()
        for name in ("a", "b"):
            journal = journal_in(tmp_path / name)
            ids.add(journal.store.folder)
            journal.close()
        assert len(ids) == 2

    def test_folder_of_another_deployment_is_refused(self, tmp_path) -> None:
        journal_in(tmp_path).close()
        assert open_journal(tmp_path, "d2").failure().code is Code.CONFLICT

    def test_files_without_identity_are_refused(self, tmp_path) -> None:
        journal_in(tmp_path).close()
        (tmp_path / "identity.json").unlink()
        assert open_journal(tmp_path, "d1").failure().code is Code.CORRUPT

    def test_second_process_is_refused(self, tmp_path) -> None:
        journal = journal_in(tmp_path)
        assert open_journal(tmp_path, "d1").failure().code is Code.STORAGE
        journal.close()


class TestFullDisk:
    def test_refuses_until_there_is_space(self, tmp_path) -> None:
        has_space = [True]

        def write(fd, data):
            if not has_space[0]:
                raise OSError(errno.ENOSPC, "no space left")
            return WriteCalls().write(fd, data[:5])

        store = open_store(tmp_path, "d1", WriteCalls(write)).unwrap()
        store.submit(Reset(3, 1, 1, 1)).result(10).unwrap()
        has_space[0] = False
        failure = store.submit(Append(3, 1, 1, [b"a"])).result(10).failure()
        assert (failure.code, failure.not_run) == (Code.STORAGE, True)
        has_space[0] = True
        assert store.submit(Append(3, 1, 1, [b"b"])).result(10).unwrap().last_index == 1
        assert store.fetch(3, 1, 100).unwrap().records == (b"b",)
        store.close()

    def test_failed_sync_stops_the_store(self, tmp_path) -> None:
        syncs = []

        def sync(fd):
            syncs.append(fd)
            if len(syncs) > 2:
                raise OSError(errno.EIO, "input/output error")

        store = open_store(tmp_path, "d1", WriteCalls(sync=sync)).unwrap()
        store.submit(Reset(3, 1, 1, 1)).result(10).unwrap()
        failure = store.submit(Append(3, 1, 1, [b"a"])).result(10).failure()
        assert (failure.code, failure.not_run) == (Code.STORAGE, False)
        assert isinstance(store.submit(Append(3, 1, 1, [b"a"])).result(10), Err)
        store.close()
        reopened = open_store(tmp_path, "d1")
        assert isinstance(reopened, Success)
        reopened.unwrap().close()
