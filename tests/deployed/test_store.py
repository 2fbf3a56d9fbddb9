"""Client of the platform's key-value store, run against a fake store."""

import threading
from collections.abc import Iterator

import pytest
from endiveworks.errors import Code
from endiveworks.kvservice.kv import Change, Swap
from endiveworks_site.store import connect
from endiveworks_standins.site_store import Faults, SiteStore, running_store


@pytest.fixture
def store() -> Iterator[SiteStore]:
    with running_store() as running:
        yield running


class TestReads:
    def test_an_item(self, store: SiteStore) -> None:
        store.put("my/leader", b"node-1")
        entry = connect(store.address).read("my/leader").unwrap()
        assert (entry.key, entry.value) == ("my/leader", b"node-1")

    def test_an_item_that_is_absent(self, store: SiteStore) -> None:
        assert connect(store.address).read("my/leader").unwrap() is None

    def test_all_pages(self, store: SiteStore) -> None:
        store.faults = Faults(page_items=2)
        for number in range(5):
            store.put(f"servers/{number}", b"x")
        store.put("op/config", b"c")
        snapshot = connect(store.address).read_prefix("servers/").unwrap()
        assert [e.key for e in snapshot.entries] == [f"servers/{n}" for n in range(5)]

    def test_the_revision_is_that_of_the_first_page(self, store: SiteStore) -> None:
        store.faults = Faults(page_items=1)
        store.put("a", b"")
        first = store.store.revision
        assert connect(store.address).read_prefix("").unwrap().revision == first

    @pytest.mark.parametrize("status", [429, 503])
    def test_a_refusal_is_a_failure_that_was_not_run(self, store: SiteStore, status: int) -> None:
        store.faults = Faults(status=status)
        failure = connect(store.address).read("a").failure()
        assert (failure.code, failure.not_run) == (Code.OVERLOADED, True)

    def test_an_unreachable_store(self) -> None:
        failure = connect("127.0.0.1:9").read("a").failure()
        assert failure.code is Code.UNREACHABLE


class TestSwaps:
    def test_a_key_that_is_absent(self, store: SiteStore) -> None:
        swapped = connect(store.address).swap(Swap("k", b"v", 0)).unwrap()
        assert swapped.done
        assert store.get("k") == b"v"

    def test_a_key_that_has_changed(self, store: SiteStore) -> None:
        store.put("k", b"theirs")
        swapped = connect(store.address).swap(Swap("k", b"mine", 0)).unwrap()
        assert not swapped.done
        assert swapped.current.value == b"theirs"
        assert swapped.revision == swapped.current.mod_revision

    def test_a_deletion(self, store: SiteStore) -> None:
        store.put("k", b"v")
        revision = store.store.revision
        assert connect(store.address).swap(Swap("k", None, revision)).unwrap().done
        assert store.get("k") is None

    def test_a_swap_whose_response_is_lost_may_have_taken_effect(self, store: SiteStore) -> None:
        store.faults = Faults(lose_answers=True)
        failure = connect(store.address).swap(Swap("k", b"v", 0)).failure()
        assert not failure.not_run
        assert store.get("k") == b"v"

    def test_an_expired_lease(self, store: SiteStore) -> None:
        failure = connect(store.address).swap(Swap("k", b"v", 0, lease=7)).failure()
        assert failure.code is Code.UPSTREAM_FAILED


class TestLeases:
    def test_a_lease_is_granted_and_renewed(self, store: SiteStore) -> None:
        kv = connect(store.address)
        lease = kv.grant_lease(2).unwrap()
        assert kv.keep_alive(lease).unwrap() == 2

    def test_a_lease_that_is_unknown(self, store: SiteStore) -> None:
        assert connect(store.address).keep_alive(99).unwrap() == 0


class TestWatches:
    def watch(self, store: SiteStore, after: int) -> tuple[list[Change], object]:
        seen: list[Change] = []

        def on_changes(changes: tuple[Change, ...]) -> bool:
            seen.extend(changes)
            return len(seen) < 2

        return seen, connect(store.address).watch("k/", after, on_changes)

    def test_writes_and_deletions(self, store: SiteStore) -> None:
        after = store.store.revision

        def change() -> None:
            store.put("k/a", b"1")
            store.put("other", b"1")
            store.store.delete([b"k/a"])

        threading.Timer(0.05, change).start()
        seen, _ = self.watch(store, after)
        assert [(c.key, c.value) for c in seen] == [("k/a", b"1"), ("k/a", None)]

    def test_compacted_history(self, store: SiteStore) -> None:
        after = store.store.revision
        store.put("k/a", b"1")
        store.store.compact()
        _, ended = self.watch(store, after - 1)
        assert ended.failure().code is Code.CONFLICT

    def test_a_watch_that_is_refused(self, store: SiteStore) -> None:
        store.faults = Faults(status=503)
        _, ended = self.watch(store, 0)
        assert ended.failure().code is Code.OVERLOADED
