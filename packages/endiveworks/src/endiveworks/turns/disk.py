"""State of one disk: its turns and ledgers, derived only from the records applied to it."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .ledger import Spending
from .records import Record, Reservation, Settlement, Turn

# Allows for steps of the wall clock and for callers that retry after a fault.
EXPIRY_MARGIN_S = 60.0
# Longer chains are cut off, so that a corrupt record can't cause an endless loop.
MAX_CHAIN = 10_000


class _StoredTurn(NamedTuple):
    turn: Turn
    expires_s: float


class _StoredLedger:
    """Ledger of one program."""

    def __init__(self) -> None:
        self.spending: dict[str, Spending] = {}
        self.retention_s = 0.0
        self.expires_s = 0.0


class DiskState:
    """Turns and ledgers of one disk. Times are Unix times in seconds."""

    def __init__(self) -> None:
        self.turns: dict[str, _StoredTurn] = {}
        self.programs: dict[str, _StoredLedger] = {}

    def __len__(self) -> int:
        """Returns the number of stored turns."""
        return len(self.turns)


def apply(state: DiskState, record: Record, now_s: float) -> bool:
    """Applies a record; returns False when the disk already has it or its settlement."""
    if isinstance(record, Turn):
        return _apply_turn(state, record, now_s)
    return _apply_spending(state, record, now_s)


def spending_of(state: DiskState, program: str) -> tuple[Spending, ...]:
    """Returns the spending of a program's turns, as stored on this disk."""
    stored = state.programs.get(program)
    return tuple(stored.spending.values()) if stored else ()


def chain_of(state: DiskState, turn: str, known: Iterable[str] = ()) -> tuple[Turn, ...]:
    """Returns a turn and its ancestors, newest first.

    The chain stops before the first turn in known, which the reader has cached, and before a turn
    that is missing here, so that the reader can query another disk for it.
    """
    stop = set(known)
    chain: list[Turn] = []
    while turn and turn not in stop and len(chain) < MAX_CHAIN:
        stored = state.turns.get(turn)
        if stored is None:
            break
        chain.append(stored.turn)
        turn = stored.turn.parent
    return tuple(chain)


def renew(state: DiskState, turns: Iterable[str], now_s: float) -> None:
    """Starts the retention time of turns again; those that are missing here are passed over."""
    for name in turns:
        stored = state.turns.get(name)
        if stored is not None:
            expires_s = now_s + stored.turn.retention_s + EXPIRY_MARGIN_S
            state.turns[name] = stored._replace(expires_s=max(stored.expires_s, expires_s))


def expire(state: DiskState, now_s: float) -> int:
    """Deletes expired turns and ledgers; returns how many were deleted."""
    turns = [name for name, stored in state.turns.items() if stored.expires_s < now_s]
    programs = [name for name, ledger in state.programs.items() if ledger.expires_s < now_s]
    for name in turns:
        del state.turns[name]
    for name in programs:
        del state.programs[name]
    return len(turns) + len(programs)


def ledger_records(state: DiskState) -> Iterator[Record]:
    """Yields records that recreate the ledgers when applied."""
    for name, program in state.programs.items():
        for spending in program.spending.values():
            kind = Settlement if spending.settled else Reservation
            yield kind(name, spending.turn, spending.tokens, program.retention_s)


def records(state: DiskState) -> Iterator[Record]:
    """Yields records that recreate the state when applied; turns come after their parents."""
    for stored in state.turns.values():
        yield stored.turn
    yield from ledger_records(state)


def _apply_turn(state: DiskState, turn: Turn, now_s: float) -> bool:
    expires_s = now_s + turn.retention_s + EXPIRY_MARGIN_S
    if turn.turn in state.turns:
        return False
    state.turns[turn.turn] = _StoredTurn(turn, expires_s)
    ancestor = turn.parent
    while ancestor in state.turns and state.turns[ancestor].expires_s < expires_s:
        state.turns[ancestor] = state.turns[ancestor]._replace(expires_s=expires_s)
        ancestor = state.turns[ancestor].turn.parent
    return True


def _apply_spending(state: DiskState, record: Reservation | Settlement, now_s: float) -> bool:
    ledger = state.programs.setdefault(record.program, _StoredLedger())
    ledger.retention_s = record.retention_s
    ledger.expires_s = max(ledger.expires_s, now_s + record.retention_s + EXPIRY_MARGIN_S)
    settled = isinstance(record, Settlement)
    existing = ledger.spending.get(record.turn)
    if existing is not None and (existing.settled or not settled):
        return False
    ledger.spending[record.turn] = Spending(record.turn, record.tokens, settled)
    return True
