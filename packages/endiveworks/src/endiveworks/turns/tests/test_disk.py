"""Records, chains, expiry and ledgers of one disk."""

import pytest
from endiveworks.turns.disk import (
    EXPIRY_MARGIN_S,
    DiskState,
    apply,
    chain_of,
    expire,
    ledger_records,
    move_ledger,
    move_turn,
    oldest_index,
    place,
    spending_of,
)
from endiveworks.turns.ledger import Spending, allocated_tokens, fits_budget, merge_ledgers
from endiveworks.turns.records import Record, Reservation, Settlement, Turn, decode, encode

NOW_S = 1_000_000.0


def turn(name: str, parent: str = "", retention_s: float = 60.0) -> Turn:
    return Turn(name, parent, name.encode(), b"out\n", retention_s)


def state_of(*applied: Record) -> DiskState:
    state = DiskState()
    for record in applied:
        apply(state, record, NOW_S)
    return state


class TestRecords:
    @pytest.mark.parametrize(
        "record",
        [
            turn("b", "a"),
            Reservation("p", "a", 575, 60.0),
            Settlement("p", "a", 23, 60.0),
        ],
    )
    def test_a_record_survives_encoding(self, record: Record) -> None:
        assert decode(encode(record)) == record

    @pytest.mark.parametrize("data", [b"", b"x", b"t", b"t\x93"])
    def test_invalid_bytes_are_rejected(self, data: bytes) -> None:
        with pytest.raises(ValueError):
            decode(data)


class TestChains:
    def test_a_chain_is_read_newest_first(self) -> None:
        state = state_of(turn("a"), turn("b", "a"), turn("c", "b"))
        assert [t.turn for t in chain_of(state, "c")] == ["c", "b", "a"]

    def test_several_turns_continue_from_one(self) -> None:
        state = state_of(turn("a"), turn("b", "a"), turn("c", "a"))
        assert [t.turn for t in chain_of(state, "c")] == ["c", "a"]

    def test_a_chain_stops_at_a_turn_the_reader_has_cached(self) -> None:
        state = state_of(turn("a"), turn("b", "a"), turn("c", "b"))
        assert [t.turn for t in chain_of(state, "c", known=["a"])] == ["c", "b"]

    def test_an_unknown_turn(self) -> None:
        assert chain_of(state_of(turn("a")), "z") == ()

    def test_a_chain_stops_before_a_missing_turn(self) -> None:
        assert [t.turn for t in chain_of(state_of(turn("c", "b")), "c")] == ["c"]

    def test_a_chain_stops_before_a_turn_that_it_contains(self) -> None:
        state = state_of(turn("a", "c"), turn("b", "a"), turn("c", "b"))
        assert [t.turn for t in chain_of(state, "c")] == ["c", "b", "a"]

    def test_a_turn_never_changes(self) -> None:
        state = state_of(turn("a"))
        assert not apply(state, turn("a")._replace(output=b"other\n"), NOW_S)
        assert chain_of(state, "a")[0].record == encode(turn("a"))


class TestExpiry:
    def test_a_turn_is_kept_for_its_retention_time(self) -> None:
        state = state_of(turn("a"))
        expire(state, NOW_S + 60.0)
        assert len(state) == 1
        expire(state, NOW_S + 61.0 + EXPIRY_MARGIN_S)
        assert len(state) == 0

    def test_a_turn_extends_the_retention_of_its_ancestors(self) -> None:
        state = state_of(turn("a"))
        later_s = NOW_S + 50.0
        apply(state, turn("b", "a"), later_s)
        expire(state, later_s + 60.0 + EXPIRY_MARGIN_S)
        assert [t.turn for t in chain_of(state, "b")] == ["b", "a"]

    def test_a_ledger_is_retained_from_its_last_change(self) -> None:
        state = state_of(Reservation("p", "a", 10, 60.0))
        apply(state, Settlement("p", "a", 5, 60.0), NOW_S + 100)
        expire(state, NOW_S + 150 + EXPIRY_MARGIN_S)
        assert spending_of(state, "p") == (Spending("a", 5, True),)


class TestLedgers:
    def test_a_settlement_replaces_its_reservation(self) -> None:
        state = state_of(Reservation("p", "a", 575, 60.0), Settlement("p", "a", 23, 60.0))
        assert spending_of(state, "p") == (Spending("a", 23, True),)

    def test_a_reservation_after_its_settlement_changes_nothing(self) -> None:
        state = state_of(Settlement("p", "a", 23, 60.0), Reservation("p", "a", 575, 60.0))
        assert spending_of(state, "p") == (Spending("a", 23, True),)

    def test_a_settlement_on_one_disk_takes_precedence(self) -> None:
        ledger = merge_ledgers([[Spending("a", 575, False)], [Spending("a", 23, True)]])
        assert allocated_tokens(ledger) == 23

    def test_reservations_of_other_turns_count_in_full(self) -> None:
        ledger = merge_ledgers([[Spending("a", 575, False), Spending("b", 575, False)]])
        assert not fits_budget(ledger, "b", 575, budget=1149)
        assert fits_budget(ledger, "b", 575, budget=1150)

    def test_the_records_recreate_the_state(self) -> None:
        state = state_of(turn("a"), turn("b", "a"), Settlement("p", "a", 23, 60.0))
        turns = [decode(bytes(stored.record or b"")) for stored in state.turns.values()]
        recreated = state_of(*turns, *ledger_records(state))
        chains = [
            [(stored.turn, stored.record) for stored in chain_of(found, "b")]
            for found in (recreated, state)
        ]
        assert chains[0] == chains[1] and len(chains[0]) == 2
        assert spending_of(recreated, "p") == spending_of(state, "p")


class TestSizes:
    def test_what_was_applied_and_expired_takes_nothing(self) -> None:
        state = state_of(turn("a"), Reservation("p", "a", 9, 60.0), Settlement("p", "a", 5, 60.0))
        assert (state.memory_bytes > 0, state.log_bytes > 0, state.record_count) == (True, True, 2)
        expire(state, NOW_S + 61.0 + EXPIRY_MARGIN_S)
        assert (state.memory_bytes, state.log_bytes, state.record_count) == (0, 0, 0)

    def test_a_sender_is_charged_for_its_turns_until_they_expire(self) -> None:
        state = DiskState()
        apply(state, turn("a"), NOW_S, sender="acme")
        assert state.sender_bytes["acme"] == state.log_bytes
        expire(state, NOW_S + 61.0 + EXPIRY_MARGIN_S)
        assert not state.sender_bytes


class TestPlaces:
    NONE = 100

    def state(self) -> DiskState:
        """Returns a state of two turns and a ledger between them."""
        state = DiskState()
        records = [turn("a"), Reservation("p", "a", 9, 60.0), turn("b")]
        for log_index, record in enumerate(records, 1):
            apply(state, record, NOW_S)
            place(state, record, log_index)
        return state

    def test_the_oldest_record_is_that_of_a_turn_or_a_ledger(self) -> None:
        state = self.state()
        assert oldest_index(state, self.NONE) == 1
        move_turn(state, state.turns["a"], 4, b"")
        assert oldest_index(state, self.NONE) == 2
        move_ledger(state, "p", 5)
        assert oldest_index(state, self.NONE) == 3

    def test_a_later_record_of_a_ledger_does_not_replace_its_older_ones(self) -> None:
        state = self.state()
        move_turn(state, state.turns["a"], 4, b"")
        reservation = Reservation("p", "b", 9, 60.0)
        apply(state, reservation, NOW_S)
        place(state, reservation, 5)
        assert oldest_index(state, self.NONE) == 2

    def test_an_empty_state_needs_no_record(self) -> None:
        assert oldest_index(DiskState(), self.NONE) == self.NONE
