from endiveworks.kvservice.kv import Swap
from endiveworks.members.member import Member
from endiveworks.members.registry import HOSTS_PREFIX, encode_member
from endiveworks.members.tests.test_registration import FakeKv
from endiveworks.orders.right import PROOF_S, Fence, Right, next_fence, number, prove
from endiveworks.orders.slots import (
    SLOTS_PREFIX,
    Holder,
    Limits,
    SlotView,
    free_slots,
    read_slots,
    take_slot,
    view_of,
)
from hypothesis import given, settings
from hypothesis import strategies as st

LIMITS = Limits("assistant", reloads=2, loads=1)
ANN, BEN, CAT = Holder("ann", 1), Holder("ben", 2), Holder("cat", 3)


class Store:
    def __init__(self) -> None:
        self.fake = FakeKv()
        self.kv = self.fake.kv()

    def view(self, me: Holder) -> SlotView:
        return view_of(read_slots(self.kv).unwrap(), LIMITS, me)

    def take_reload(self, me: Holder) -> bool:
        return take_slot(self.kv, self.view(me).free_reload, me, lease=7).unwrap()


class TestSlots:
    def test_are_bounded_and_the_earlier_holder_is_ahead_of_the_later(self) -> None:
        store = Store()
        assert store.take_reload(ANN)
        assert store.take_reload(BEN)
        assert store.view(CAT).free_reload == ""
        assert store.view(ANN).ahead == frozenset()
        assert store.view(BEN).ahead == {"ann"}
        assert store.view(CAT).ahead == {"ann", "ben"}

    def test_one_key_has_one_holder(self) -> None:
        store = Store()
        key = store.view(ANN).free_load
        assert take_slot(store.kv, key, ANN, 7).unwrap()
        assert not take_slot(store.kv, key, BEN, 8).unwrap()
        assert store.view(ANN).load == key
        assert store.view(BEN).load == ""

    def test_a_lost_answer_is_settled_by_reading(self) -> None:
        store = Store()
        store.fake.lose_next_swap = True
        assert not take_slot(store.kv, store.view(ANN).free_load, ANN, 7).value_or(False)
        assert store.view(ANN).load != ""

    def test_only_own_slots_are_given_back(self) -> None:
        store = Store()
        store.take_reload(ANN)
        store.take_reload(BEN)
        free_slots(store.kv, read_slots(store.kv).unwrap(), ANN)
        assert [slot.holder for slot in read_slots(store.kv).unwrap()] == [BEN]

    def test_a_value_that_cannot_be_read_is_taken(self) -> None:
        store = Store()
        key = f"{SLOTS_PREFIX}store/0000"
        store.kv.swap(Swap(key, b"?", 0))
        assert store.view(ANN).free_load == ""


class TestRight:
    def register(self, store: Store, me: Holder) -> None:
        key = HOSTS_PREFIX + me.host
        member = Member(me.host, "", "upstream", "assistant", "east", "east-1", me.incarnation)
        found = store.kv.read(key).unwrap()
        expected = found.mod_revision if found else 0
        store.kv.swap(Swap(key, encode_member(member), expected))

    def test_belongs_to_the_registered_incarnation_for_a_bounded_time(self) -> None:
        store = Store()
        old, new = Holder("up-1", 1), Holder("up-1", 2)
        assert prove(store.kv, old, lambda: 5.0).unwrap() is None
        self.register(store, old)
        first = prove(store.kv, old, lambda: 5.0).unwrap()
        assert first is not None
        assert first.until_s == 5.0 + PROOF_S
        self.register(store, new)
        second = prove(store.kv, new, lambda: 5.0).unwrap()
        assert second is not None
        assert second.revision > first.revision
        assert prove(store.kv, old, lambda: 5.0).unwrap() is None


class TestFence:
    @settings(derandomize=True, max_examples=100)
    @given(st.lists(st.integers(0, 3), max_size=40), st.integers(1, 2**20))
    def test_numbers_of_one_process_grow(self, steps: list[int], revision: int) -> None:
        fence, numbers = Fence(), []
        for step in steps:
            revision += step
            fence = next_fence(fence, Right(revision, 0.0))
            numbers.append(number(fence))
        assert numbers == sorted(set(numbers))

    def test_a_later_process_is_above_all_orders_of_the_one_before(self) -> None:
        fence = Fence()
        for _ in range(2**16 + 1):
            fence = next_fence(fence, Right(9, 0.0))
        assert number(fence) < number(next_fence(Fence(), Right(10, 0.0)))
