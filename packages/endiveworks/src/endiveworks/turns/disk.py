"""The turns and ledgers that one disk holds; a function of the records applied to it."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .ledger import Spending
from .records import Record, Reservation, Settlement, Turn

# Covers steps of the time of day and the time in which a caller comes back after a fault.
EXPIRY_MARGIN_S = 60.0
# Deeper chains are refused, so that a damaged record can't make a reader walk for ever.
MAX_CHAIN = 10_000


class _Kept(NamedTuple):
    turn: Turn
    expires_s: float


class _Program:
    """Spending of one program by turn."""

    def __init__(self) -> None:
        self.spending: dict[str, Spending] = {}
        self.keep_s = 0.0
        self.expires_s = 0.0


class DiskState:
    """State of one disk. Times are seconds of the time of day."""

    def __init__(self) -> None:
        self.turns: dict[str, _Kept] = {}
        self.programs: dict[str, _Program] = {}

    def __len__(self) -> int:
        """Counts the turns held."""
        return len(self.turns)


def apply(state: DiskState, record: Record, now_s: float) -> bool:
    """Adds a record; returns False when the disk holds it already."""
    if isinstance(record, Turn):
        return _apply_turn(state, record, now_s)
    return _apply_spending(state, record, now_s)


def spending_of(state: DiskState, program: str) -> tuple[Spending, ...]:
    """Returns what is known of a program's spending."""
    found = state.programs.get(program)
    return tuple(found.spending.values()) if found else ()


def chain_of(state: DiskState, turn: str, known: Iterable[str] = ()) -> tuple[Turn, ...]:
    """Returns a turn and those before it, newest first, up to one that the reader knows.

    A chain with a missing link ends before it, so that the reader can ask another disk.
    """
    stop = set(known)
    chain: list[Turn] = []
    while turn and turn not in stop and len(chain) < MAX_CHAIN:
        kept = state.turns.get(turn)
        if kept is None:
            break
        chain.append(kept.turn)
        turn = kept.turn.parent
    return tuple(chain)


def expire(state: DiskState, now_s: float) -> int:
    """Lets go of what is no longer kept; returns how many turns and programs went."""
    turns = [name for name, kept in state.turns.items() if kept.expires_s < now_s]
    programs = [name for name, kept in state.programs.items() if kept.expires_s < now_s]
    for name in turns:
        del state.turns[name]
    for name in programs:
        del state.programs[name]
    return len(turns) + len(programs)


def ledger_records(state: DiskState) -> Iterator[Record]:
    """Yields records that give the same ledgers."""
    for name, program in state.programs.items():
        for spending in program.spending.values():
            kind = Settlement if spending.settled else Reservation
            yield kind(name, spending.turn, spending.tokens, program.keep_s)


def records(state: DiskState) -> Iterator[Record]:
    """Yields records that give the same state; turns come after their parents."""
    for kept in state.turns.values():
        yield kept.turn
    yield from ledger_records(state)


def _apply_turn(state: DiskState, turn: Turn, now_s: float) -> bool:
    expires_s = now_s + turn.keep_s + EXPIRY_MARGIN_S
    if turn.turn in state.turns:
        return False
    state.turns[turn.turn] = _Kept(turn, expires_s)
    at = turn.parent
    while at in state.turns and state.turns[at].expires_s < expires_s:
        state.turns[at] = state.turns[at]._replace(expires_s=expires_s)
        at = state.turns[at].turn.parent
    return True


def _apply_spending(state: DiskState, record: Reservation | Settlement, now_s: float) -> bool:
    program = state.programs.setdefault(record.program, _Program())
    program.keep_s = record.keep_s
    program.expires_s = max(program.expires_s, now_s + record.keep_s + EXPIRY_MARGIN_S)
    settled = isinstance(record, Settlement)
    known = program.spending.get(record.turn)
    if known is not None and (known.settled or not settled):
        return False
    program.spending[record.turn] = Spending(record.turn, record.tokens, settled)
    return True
