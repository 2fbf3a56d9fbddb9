from endiveworks.errors import Code, Failure
from endiveworks.journal.peer import CopyId
from endiveworks.kvservice.kv import KeyValue, Kv, Swap, SwapResult
from endiveworks.ownership import table
from endiveworks.ownership.deployment_info import ensure_deployment_info
from endiveworks.ownership.record import OwnerId, PartitionRecord, partition_key
from returns.result import Failure as Err
from returns.result import Success

RECORD = PartitionRecord(7, OwnerId("a", 11), 1, (CopyId("a", "f"),), 100)


class FakeKv:
    """An in-memory store that can lose swaps before or after they take effect."""

    def __init__(self) -> None:
        self.entries: dict[str, KeyValue] = {}
        self.revision = 0
        self.lost_swaps: list[str] = []
        self.swaps: list[Swap] = []

    def kv(self) -> Kv:
        return Kv(self.read, None, self.swap, None, None, None)

    def read(self, key: str):
        return Success(self.entries.get(key))

    def swap(self, swap: Swap):
        self.swaps.append(swap)
        lost = self.lost_swaps.pop(0) if self.lost_swaps else ""
        failure = Failure(Code.TIMEOUT, "kv.swap", "", "lost")
        if lost == "before":
            return Err(failure)
        current = self.entries.get(swap.key)
        done = (current.mod_revision if current else 0) == swap.expected_revision
        if done:
            self.revision += 1
            self.entries[swap.key] = KeyValue(swap.key, swap.value, self.revision)
        if lost == "after":
            return Err(failure)
        return Success(SwapResult(done, self.revision, self.entries.get(swap.key)))


class TestSwap:
    def test_a_lost_response_is_resolved_by_reading_back(self) -> None:
        fake = FakeKv()
        fake.lost_swaps = ["after"]
        assert table.swap(fake.kv(), table.VersionedRecord(None, 0), RECORD).unwrap() == (RECORD, 1)
        assert len(fake.swaps) == 1

    def test_a_lost_request_is_retried(self) -> None:
        fake = FakeKv()
        fake.lost_swaps = ["before"]
        assert table.swap(fake.kv(), table.VersionedRecord(None, 0), RECORD).unwrap() == (RECORD, 1)
        assert len(fake.swaps) == 2

    def test_another_writer_causes_a_conflict(self) -> None:
        fake = FakeKv()
        table.swap(fake.kv(), table.VersionedRecord(None, 0), RECORD).unwrap()
        fake.lost_swaps = ["after"]
        late = RECORD._replace(owner=OwnerId("b", 12), change=200)
        outcome = table.swap(fake.kv(), table.VersionedRecord(None, 0), late)
        assert outcome.failure().code is Code.CONFLICT

    def test_outcome_is_unknown_without_any_response(self) -> None:
        fake = FakeKv()
        fake.lost_swaps = ["before"] * 9
        outcome = table.swap(fake.kv(), table.VersionedRecord(None, 0), RECORD)
        assert outcome.failure().code is Code.TIMEOUT

    def test_a_delayed_swap_fails_after_another_one_succeeded(self) -> None:
        fake = FakeKv()
        fake.lost_swaps = ["before"]
        table.swap(fake.kv(), table.VersionedRecord(None, 0), RECORD).unwrap()
        assert not fake.swap(fake.swaps[0]).unwrap().done


class TestUpdate:
    def test_another_epoch_is_refused(self) -> None:
        fake = FakeKv()
        table.swap(fake.kv(), table.VersionedRecord(None, 0), RECORD).unwrap()
        outcome = table.update(fake.kv(), 7, 2, lambda record: record._replace(change=1))
        assert outcome.failure().code is Code.STALE_EPOCH

    def test_an_unchanged_record_is_not_written(self) -> None:
        fake = FakeKv()
        table.swap(fake.kv(), table.VersionedRecord(None, 0), RECORD).unwrap()
        table.update(fake.kv(), 7, 1, lambda record: record._replace(change=1)).unwrap()
        assert fake.entries[partition_key(7)].mod_revision == 1


class TestDeploymentInfo:
    def test_the_first_writer_decides(self) -> None:
        fake = FakeKv()
        fake.lost_swaps = ["after"]
        first = ensure_deployment_info(fake.kv(), 16).unwrap()
        assert ensure_deployment_info(fake.kv(), 32).unwrap() == first
        assert first.partitions == 16
