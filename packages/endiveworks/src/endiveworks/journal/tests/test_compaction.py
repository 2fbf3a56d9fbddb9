import random
from pathlib import Path

from endiveworks.journal.copy_state import Append, Reset, Seal, Trim
from endiveworks.journal.store import Store, open_store

SMALL_SEGMENT_BYTES = 2000


def store_in(folder: Path) -> Store:
    return open_store(folder, "d1", segment_bytes=SMALL_SEGMENT_BYTES).unwrap()


def read_records(store: Store, partition: int) -> list[bytes]:
    state = store.state(partition)
    assert state is not None
    found: list[bytes] = []
    while state.first_index + len(found) <= state.last_index:
        found += store.fetch(partition, state.first_index + len(found), 500).unwrap().records
    return found


class TestCompaction:
    def test_size_is_bounded_and_content_kept(self, tmp_path) -> None:
        rng = random.Random(4)
        store = store_in(tmp_path)
        expected: dict[int, list[bytes]] = {}
        for partition in range(3):
            store.submit(Reset(partition, 1, 1, 1)).result(10).unwrap()
            expected[partition] = []
        for step in range(1500):
            partition = rng.choice([0, 1, 1, 1])
            record = rng.randbytes(rng.randrange(100))
            state = store.state(partition)
            store.submit(Append(partition, 1, state.last_index + 1, [record])).result(10).unwrap()
            expected[partition].append(record)
            if len(expected[partition]) > 20:
                expected[partition] = expected[partition][10:]
                trim = Trim(partition, 1, store.state(partition).first_index + 10)
                store.submit(trim).result(10).unwrap()
            if step % 300 == 0:
                store.close()
                store = store_in(tmp_path)
        assert store.used_bytes() < 20 * SMALL_SEGMENT_BYTES
        store.close()
        store = store_in(tmp_path)
        for partition, records in expected.items():
            assert read_records(store, partition) == records
        store.close()

    def test_idle_partition_outlives_its_segment(self, tmp_path) -> None:
        store = store_in(tmp_path)
        store.submit(Reset(7, 5, 9, 4)).result(10).unwrap()
        store.submit(Append(7, 5, 4, [b"a", b"b"])).result(10).unwrap()
        store.submit(Seal(7, 6)).result(10).unwrap()
        store.submit(Reset(8, 1, 1, 1)).result(10).unwrap()
        first_files = set(tmp_path.glob("*.wal"))
        for index in range(1, 400):
            store.submit(Append(8, 1, index, [b"x" * 90])).result(10).unwrap()
            store.submit(Trim(8, 1, index)).result(10).unwrap()
        assert not first_files & set(tmp_path.glob("*.wal"))
        store.close()
        store = store_in(tmp_path)
        assert (read_records(store, 7), store.state(7).epoch) == ([b"a", b"b"], 6)
        store.close()
