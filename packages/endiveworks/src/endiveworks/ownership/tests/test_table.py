from endiveworks.errors import Code, Failure
from endiveworks.journal.peer import CopyId
from endiveworks.kvservice.kv import Entry, Kv, Swap, Swapped
from endiveworks.ownership import table
from endiveworks.ownership.record import OwnerId, PartitionRecord, key_of
from endiveworks.ownership.terms import agree_terms
from returns.result import Failure as Err
from returns.result import Success

RECORD = PartitionRecord(7, OwnerId("a", 11), 1, (CopyId("a", "f"),), 100)


class FakeKv:
    """One store whose swaps can be lost before or after they take effect."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.revision = 0
        self.lose: list[str] = []
        self.swaps: list[Swap] = []

    def kv(self) -> Kv:
        return Kv(self.read, None, self.swap, None, None, None)

    def read(self, key: str):
        return Success(self.entries.get(key))

    def swap(self, swap: Swap):
        self.swaps.append(swap)
        lost = self.lose.pop(0) if self.lose else ""
        failure = Failure(Code.TIMEOUT, "kv.swap", "", "lost")
        if lost == "before":
            return Err(failure)
        current = self.entries.get(swap.key)
        done = (current.mod_revision if current else 0) == swap.expected_revision
        if done:
            self.revision += 1
            self.entries[swap.key] = Entry(swap.key, swap.value, self.revision)
        if lost == "after":
            return Err(failure)
        return Success(Swapped(done, self.revision, self.entries.get(swap.key)))


class TestSwap:
    def test_answer_lost_after_the_write(self) -> None:
        fake = FakeKv()
        fake.lose = ["after"]
        assert table.swap(fake.kv(), table.Located(None, 0), RECORD).unwrap() == (RECORD, 1)
        assert len(fake.swaps) == 1

    def test_request_lost_before_the_write_is_sent_again(self) -> None:
        fake = FakeKv()
        fake.lose = ["before"]
        assert table.swap(fake.kv(), table.Located(None, 0), RECORD).unwrap() == (RECORD, 1)
        assert len(fake.swaps) == 2

    def test_other_writer_wins(self) -> None:
        fake = FakeKv()
        table.swap(fake.kv(), table.Located(None, 0), RECORD).unwrap()
        fake.lose = ["after"]
        late = RECORD._replace(owner=OwnerId("b", 12), change=200)
        outcome = table.swap(fake.kv(), table.Located(None, 0), late)
        assert outcome.failure().code is Code.CONFLICT

    def test_unsettled_when_nothing_answers(self) -> None:
        fake = FakeKv()
        fake.lose = ["before"] * 9
        outcome = table.swap(fake.kv(), table.Located(None, 0), RECORD)
        assert outcome.failure().code is Code.TIMEOUT

    def test_delayed_swap_fails_once_another_has_been_made(self) -> None:
        fake = FakeKv()
        fake.lose = ["before"]
        table.swap(fake.kv(), table.Located(None, 0), RECORD).unwrap()
        assert not fake.swap(fake.swaps[0]).unwrap().done


class TestUpdate:
    def test_refuses_another_epoch(self) -> None:
        fake = FakeKv()
        table.swap(fake.kv(), table.Located(None, 0), RECORD).unwrap()
        outcome = table.update(fake.kv(), 7, 2, lambda now: now._replace(change=1))
        assert outcome.failure().code is Code.STALE_EPOCH

    def test_writes_nothing_when_already_so(self) -> None:
        fake = FakeKv()
        table.swap(fake.kv(), table.Located(None, 0), RECORD).unwrap()
        table.update(fake.kv(), 7, 1, lambda now: now._replace(change=1)).unwrap()
        assert fake.entries[key_of(7)].mod_revision == 1


class TestTerms:
    def test_first_writer_sets_them(self) -> None:
        fake = FakeKv()
        fake.lose = ["after"]
        first = agree_terms(fake.kv(), 16).unwrap()
        assert agree_terms(fake.kv(), 32).unwrap() == first
        assert first.partitions == 16
