"""Which turns a disk has room for."""

import math

import pytest
from endiveworks.turns.disk import EXPIRY_MARGIN_S, DiskState, apply, expire
from endiveworks.turns.records import Settlement, Turn
from endiveworks.turns.room import (
    ADDRESS_SHARE,
    MAX_PROGRAM_TURNS,
    MAX_WAIT_S,
    TENANT_SHARE,
    Room,
    RoomLimits,
    RoomRequest,
    admitted_share,
    room_limits,
)

NOW_S = 1_000_000.0
RETENTION_S = 10.0
LOG_BYTES = 40_000_000
LONG, SMALL = 1_000_000, 1_000


def ask(number: int, size: int, sender: str = "", is_first: bool = True) -> RoomRequest:
    is_tenant = bool(sender) and not sender[0].isdigit()
    return RoomRequest(f"t{number}", size, sender, is_first, is_tenant, 5.0)


def store(state: DiskState, room: Room, req: RoomRequest) -> None:
    """Stores the turn that room was asked for."""
    sender = room.release(req.turn)
    apply(state, Turn(req.turn, "", b"x" * req.size, b"", RETENTION_S), NOW_S, sender=sender)


def fill(room: Room, state: DiskState, size: int, sender: str = "", stored: bool = True) -> int:
    """Asks for room until it is refused; returns how many turns were admitted."""
    number = 0
    while not room.request(ask(number, size, sender), NOW_S):
        if stored:
            store(state, room, ask(number, size, sender))
        number += 1
    return number


@pytest.fixture
def state() -> DiskState:
    return DiskState()


@pytest.fixture
def room(state: DiskState) -> Room:
    return Room(state, RoomLimits(log_bytes=LOG_BYTES))


class TestLength:
    def test_long_turns_leave_room_for_ordinary_ones(self, room: Room, state: DiskState) -> None:
        """Else one client with long turns takes what all others need."""
        fill(room, state, LONG)
        assert room.used_share() <= 0.5
        assert room.request(ask(10**6, SMALL), NOW_S) == 0.0

    def test_the_longer_a_turn_the_more_room_is_left(self) -> None:
        shares = [admitted_share(size, False) for size in (0, 16_384, 65_536, 262_144, LONG)]
        assert shares[0] == shares[1] == 1.0
        assert shares == sorted(shares, reverse=True)
        assert shares[1:-1] == sorted(set(shares[1:-1]), reverse=True)

    def test_turns_that_continue_others_get_the_last_room(
        self, room: Room, state: DiskState
    ) -> None:
        fill(room, state, SMALL)
        assert room.request(ask(-1, SMALL, is_first=True), NOW_S) > 0
        assert room.request(ask(-1, SMALL, is_first=False), NOW_S) == 0.0


class TestSenders:
    def test_one_sender_leaves_room_for_the_others(self, room: Room, state: DiskState) -> None:
        fill(room, state, SMALL, "acme")
        assert room.used_share() <= TENANT_SHARE + 0.01
        assert room.request(ask(-1, SMALL, "acme"), NOW_S) > 0
        assert room.request(ask(-1, SMALL, "acme", False), NOW_S) == 0.0
        assert room.request(ask(-2, SMALL, "other"), NOW_S) == 0.0

    def test_short_turns_of_one_sender_leave_memory_for_the_others(self, state: DiskState) -> None:
        """Their number takes memory, though their bytes take little of the disk."""
        room = Room(state, RoomLimits(memory_bytes=1_000_000, log_bytes=LOG_BYTES))
        admitted = fill(room, state, 0, "acme")
        # Ledgers, which are not stored here, count for the sender of first turns.
        assert admitted * 1_600 <= room.admitted.memory_bytes * TENANT_SHARE
        assert room.request(ask(-1, 0, "other"), NOW_S) == 0.0
        expire(state, NOW_S + 2 * (RETENTION_S + EXPIRY_MARGIN_S))
        assert not state.sender_memory_bytes
        assert fill(room, state, 0, "acme") >= admitted - 1

    def test_an_address_leaves_less_room_since_many_callers_may_share_it(
        self, room: Room, state: DiskState
    ) -> None:
        fill(room, state, SMALL, "10.0.0.1")
        assert TENANT_SHARE < room.used_share() <= ADDRESS_SHARE
        assert room.request(ask(-1, SMALL, "10.0.0.2"), NOW_S) == 0.0

    def test_turns_under_way_count_for_their_sender(self, room: Room, state: DiskState) -> None:
        fill(room, state, LONG // 10, "acme", stored=False)
        assert room.used_share() <= TENANT_SHARE + 0.01


class TestHolds:
    def test_room_is_held_for_turns_under_way(self, room: Room, state: DiskState) -> None:
        admitted = fill(room, state, LONG, stored=False)
        assert admitted * LONG <= room.admitted.log_bytes

    def test_a_repeated_request_holds_nothing_more(self, room: Room) -> None:
        room.request(ask(1, SMALL), NOW_S)
        held = room.held_bytes()
        assert room.request(ask(1, SMALL), NOW_S) == 0.0
        assert room.held_bytes() == held

    def test_room_that_is_not_used_is_given_back(self, room: Room, state: DiskState) -> None:
        admitted = fill(room, state, LONG, stored=False)
        room.release("t0")
        assert room.request(ask(admitted, LONG), NOW_S) == 0.0
        assert room.request(ask(admitted + 1, LONG), NOW_S) > 0
        assert room.request(ask(admitted + 1, LONG), NOW_S + 6.0) == 0.0


class TestLedgers:
    def test_a_program_has_a_limited_number_of_turns(self, room: Room, state: DiskState) -> None:
        """Each turn of a program reads the whole ledger."""
        for number in range(MAX_PROGRAM_TURNS):
            apply(state, Settlement("p", f"t{number}", 1, RETENTION_S), NOW_S)
        assert room.request(ask(-1, SMALL), NOW_S, "p") > 0
        assert room.request(ask(-1, SMALL), NOW_S, "q") == 0.0


class TestRefusals:
    def test_the_wait_is_the_time_until_enough_turns_expire(
        self, room: Room, state: DiskState
    ) -> None:
        admitted = fill(room, state, LONG)
        early_s = NOW_S + RETENTION_S + EXPIRY_MARGIN_S - 7.0
        assert room.request(ask(admitted, LONG), early_s) == pytest.approx(7.0)
        assert room.request(ask(admitted, LONG), NOW_S) == MAX_WAIT_S
        expire(state, early_s + 8.0)
        assert room.request(ask(admitted, LONG), early_s + 8.0) == 0.0

    def test_memory_is_limited_by_the_number_of_turns(self, state: DiskState) -> None:
        room = Room(state, RoomLimits(memory_bytes=1_000_000))
        admitted = fill(room, state, 0)
        assert 0 < admitted < room.admitted.memory_bytes / 600

    def test_without_limits_nothing_is_refused(self, state: DiskState) -> None:
        room = Room(state, room_limits(0, 0))
        assert room.request(ask(1, 10**12), NOW_S) == 0.0
        assert (room.used_share(), room.fits(10**12)) == (0.0, True)


class TestLimits:
    @pytest.mark.parametrize("tolerance", [0, 1, 2, 5])
    def test_a_joining_disk_has_room_for_all_turns(self, state: DiskState, tolerance: int) -> None:
        """All disks are as full as they may be, and each turn is on no more than is needed."""
        room = Room(state, RoomLimits(log_bytes=LOG_BYTES), tolerance)
        admitted = fill(room, state, SMALL)
        of_all = admitted * (2 * tolerance + 1) // (tolerance + 1)
        for number in range(admitted, of_all):
            assert room.fits(SMALL)
            apply(state, Turn(f"u{number}", "", b"x" * SMALL, b"", RETENTION_S), NOW_S)

    def test_the_limits_follow_the_machine(self) -> None:
        limits = room_limits(170, 510)
        assert 0 < limits.memory_bytes < 170e6 and 0 < limits.log_bytes < 510e6
        assert room_limits(20, 0).memory_bytes > 0
        assert room_limits(0, 510).memory_bytes == math.inf
