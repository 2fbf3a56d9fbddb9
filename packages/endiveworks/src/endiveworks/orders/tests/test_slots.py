from endiveworks.kvservice.kv import Swap
from endiveworks.members.member import Member
from endiveworks.members.registry import HOSTS_PREFIX, encode_member
from endiveworks.members.tests.test_registration import FakeKv
from endiveworks.orders.authority import (
    AUTHORITY_LIFETIME_S,
    Authority,
    FencingNumber,
    encode_fencing_number,
    next_fencing_number,
    read_authority,
)
from endiveworks.orders.slots import (
    SLOTS_PREFIX,
    Holder,
    SlotLimits,
    SlotStatus,
    acquire_slot,
    read_slots,
    release_slots,
    slot_status,
)
from hypothesis import given, settings
from hypothesis import strategies as st

LIMITS = SlotLimits("assistant", reloads=2, loads=1)
ANN, BEN, CAT = Holder("ann", 1), Holder("ben", 2), Holder("cat", 3)


class SlotStore:
    def __init__(self) -> None:
        self.fake = FakeKv()
        self.kv = self.fake.kv()

    def status(self, me: Holder) -> SlotStatus:
        return slot_status(read_slots(self.kv).unwrap(), LIMITS, me)

    def acquire_reload(self, me: Holder) -> bool:
        return acquire_slot(self.kv, self.status(me).free_reload, me, lease=7).unwrap()


class TestSlots:
    def test_are_bounded_and_the_earlier_holder_is_ahead_of_the_later(self) -> None:
        store = SlotStore()
        assert store.acquire_reload(ANN)
        assert store.acquire_reload(BEN)
        assert store.status(CAT).free_reload == ""
        assert store.status(ANN).ahead == frozenset()
        assert store.status(BEN).ahead == {"ann"}
        assert store.status(CAT).ahead == {"ann", "ben"}

    def test_one_key_has_one_holder(self) -> None:
        store = SlotStore()
        key = store.status(ANN).free_load
        assert acquire_slot(store.kv, key, ANN, 7).unwrap()
        assert not acquire_slot(store.kv, key, BEN, 8).unwrap()
        assert store.status(ANN).load == key
        assert store.status(BEN).load == ""

    def test_a_read_shows_the_outcome_of_a_lost_response(self) -> None:
        store = SlotStore()
        store.fake.lose_next_swap = True
        assert not acquire_slot(store.kv, store.status(ANN).free_load, ANN, 7).value_or(False)
        assert store.status(ANN).load != ""

    def test_only_own_slots_are_released(self) -> None:
        store = SlotStore()
        store.acquire_reload(ANN)
        store.acquire_reload(BEN)
        release_slots(store.kv, read_slots(store.kv).unwrap(), ANN)
        assert [slot.holder for slot in read_slots(store.kv).unwrap()] == [BEN]

    def test_a_value_that_cannot_be_decoded_is_held(self) -> None:
        store = SlotStore()
        key = f"{SLOTS_PREFIX}store/0000"
        store.kv.swap(Swap(key, b"?", 0))
        assert store.status(ANN).free_load == ""


class TestAuthority:
    def register(self, store: SlotStore, me: Holder) -> None:
        key = HOSTS_PREFIX + me.host
        address = "10.0.0.1:7000"
        member = Member(me.host, address, "upstream", "assistant", "east", "east-1", me.incarnation)
        found = store.kv.read(key).unwrap()
        expected = found.mod_revision if found else 0
        store.kv.swap(Swap(key, encode_member(member), expected))

    def test_belongs_to_the_registered_incarnation_for_a_bounded_time(self) -> None:
        store = SlotStore()
        old, new = Holder("up-1", 1), Holder("up-1", 2)
        assert read_authority(store.kv, old, lambda: 5.0).unwrap() is None
        self.register(store, old)
        first = read_authority(store.kv, old, lambda: 5.0).unwrap()
        assert first is not None
        assert first.until_s == 5.0 + AUTHORITY_LIFETIME_S
        self.register(store, new)
        second = read_authority(store.kv, new, lambda: 5.0).unwrap()
        assert second is not None
        assert second.revision > first.revision
        assert read_authority(store.kv, old, lambda: 5.0).unwrap() is None


class TestFencingNumber:
    @settings(derandomize=True, max_examples=100)
    @given(st.lists(st.integers(0, 3), max_size=40), st.integers(1, 2**20))
    def test_numbers_of_one_process_grow(self, steps: list[int], revision: int) -> None:
        number, numbers = FencingNumber(), []
        for step in steps:
            revision += step
            number = next_fencing_number(number, Authority(revision, 0.0))
            numbers.append(encode_fencing_number(number))
        assert numbers == sorted(set(numbers))

    def test_a_later_process_is_above_all_orders_of_the_one_before(self) -> None:
        number = FencingNumber()
        for _ in range(2**16 + 1):
            number = next_fencing_number(number, Authority(9, 0.0))
        assert encode_fencing_number(number) < encode_fencing_number(
            next_fencing_number(FencingNumber(), Authority(10, 0.0))
        )
