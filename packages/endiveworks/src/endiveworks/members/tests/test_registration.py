from collections.abc import Iterator
from itertools import count

import pytest
from endiveworks.errors import Code, Failure
from endiveworks.kvservice.kv import KeyValue, Kv, Snapshot, Swap, SwapResult
from endiveworks.members.registration import Registration, RegistrationState, deregister, renew
from endiveworks.members.registry import HOSTS_PREFIX, read_members
from endiveworks.members.tests.test_membership_state import member
from returns.result import Failure as Err
from returns.result import Result, Success


class FakeKv:
    def __init__(self) -> None:
        self.entries: dict[str, KeyValue] = {}
        self.leases: set[int] = set()
        self.lose_next_swap = False
        self._numbers: Iterator[int] = count(1)

    def kv(self) -> Kv:
        return Kv(
            read=lambda key: Success(self.entries.get(key)),
            read_prefix=lambda _: Success(Snapshot(0, tuple(self.entries.values()))),
            swap=self.swap,
            grant_lease=self.grant,
            keep_alive=lambda lease: Success(10 if lease in self.leases else 0),
            watch=lambda *_: Success(None),
        )

    def grant(self, _: int) -> Result[int, Failure]:
        lease = next(self._numbers)
        self.leases.add(lease)
        return Success(lease)

    def swap(self, write: Swap) -> Result[SwapResult, Failure]:
        current = self.entries.get(write.key)
        done = (current.mod_revision if current else 0) == write.expected_revision
        if done and write.value is None:
            del self.entries[write.key]
        elif done and write.value is not None:
            revision = next(self._numbers)
            self.entries[write.key] = KeyValue(write.key, write.value, revision, write.lease)
        if self.lose_next_swap:
            self.lose_next_swap = False
            return Err(Failure(Code.TIMEOUT, "kv.txn", "kv", "no response"))
        return Success(SwapResult(done, 0, self.entries.get(write.key)))

    def lapse(self, lease: int) -> None:
        self.leases.discard(lease)
        self.entries = {key: entry for key, entry in self.entries.items() if entry.lease != lease}


@pytest.fixture
def store() -> FakeKv:
    return FakeKv()


class TestRenew:
    def test_registers_once_and_then_only_renews_the_lease(self, store: FakeKv) -> None:
        first = renew(store.kv(), Registration(member("a"), 10)).registration
        assert first.state is RegistrationState.REGISTERED
        before = store.entries[HOSTS_PREFIX + "a"]
        assert renew(store.kv(), first).registration == first
        assert store.entries[HOSTS_PREFIX + "a"] == before

    def test_registers_again_after_a_lapse(self, store: FakeKv) -> None:
        first = renew(store.kv(), Registration(member("a"), 10)).registration
        store.lapse(first.lease)
        again = renew(store.kv(), first).registration
        assert again.state is RegistrationState.REGISTERED
        assert again.lease != first.lease
        assert read_members(store.kv()).unwrap() == (member("a"),)

    def test_a_lost_response_is_recovered_by_the_next_renewal(self, store: FakeKv) -> None:
        store.lose_next_swap = True
        renewal = renew(store.kv(), Registration(member("a"), 10))
        assert renewal.failure is not None
        assert renew(store.kv(), renewal.registration).registration.stored == member("a")

    def test_a_new_incarnation_takes_the_name_and_the_old_one_is_superseded(
        self, store: FakeKv
    ) -> None:
        old = renew(store.kv(), Registration(member("a", 1), 10)).registration
        new = renew(store.kv(), Registration(member("a", 2), 10)).registration
        assert new.state is RegistrationState.REGISTERED
        store.lapse(old.lease)
        superseded = renew(store.kv(), old).registration
        assert superseded.state is RegistrationState.SUPERSEDED
        deregister(store.kv(), superseded).unwrap()
        assert read_members(store.kv()).unwrap() == (member("a", 2),)

    def test_a_changed_member_is_written(self, store: FakeKv) -> None:
        first = renew(store.kv(), Registration(member("a"), 10)).registration
        draining = first._replace(member=first.member._replace(draining=True))
        renew(store.kv(), draining)
        assert read_members(store.kv()).unwrap()[0].draining
        deregister(store.kv(), draining).unwrap()
        assert not store.entries
