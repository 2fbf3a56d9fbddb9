"""State of one disk: its turns and ledgers, derived only from the records applied to it.

Prompts and outputs stay in the log. The state holds where each record is, so its size follows the
number of records and not their length.
"""

from collections import Counter
from collections.abc import Iterable, Iterator

from .ledger import Spending
from .records import Record, Reservation, Settlement, Turn, TurnParts, encode

# Allows for steps of the wall clock and for callers that retry after a fault.
EXPIRY_MARGIN_S = 60.0
# Longer chains are cut off, so that a corrupt record can't cause an endless loop.
MAX_CHAIN = 10_000
# Memory of a turn, with its entries in the containers and in the index of the log.
TURN_MEMORY_BYTES = 600
SPENDING_MEMORY_BYTES = 300  # Memory of what one turn has spent, in a ledger.
LEDGER_MEMORY_BYTES = 700  # Memory of the ledger of a program, without its entries.
# Bytes of a record in the log beside the prompt and the output of a turn.
RECORD_OVERHEAD_BYTES = 200


class StoredTurn:
    """A turn of this disk.

    Attributes:
        turn: Id of the turn's request.
        parent: Id of the turn that it continues; empty at the start of a chain.
        size: Bytes of its prompt and output.
        retention_s: Retention time of the turn and its chain.
        expires_s: Time at which it expires.
        sender: Whose it is, for the limits of one sender; empty if it is not known.
        log_index: Index of its record in the log; 0 before it has one.
        record: The encoded record until it can be read from the log; None from then on.
    """

    __slots__ = (
        "turn",
        "parent",
        "size",
        "retention_s",
        "expires_s",
        "sender",
        "log_index",
        "record",
    )

    def __init__(
        self, turn: Turn | TurnParts, expires_s: float, sender: str, record: bytes | memoryview
    ) -> None:
        self.turn = turn.turn
        self.parent = turn.parent
        self.size = len(turn.prompt) + len(turn.output)
        self.retention_s = turn.retention_s
        self.expires_s = expires_s
        self.sender = sender
        self.log_index = 0
        self.record: bytes | memoryview | None = record

    @property
    def memory_bytes(self) -> int:
        """Memory that it takes, with its entry in the ledger of its program.

        The first turn of a chain counts for the ledger as well.
        """
        ledger_bytes = 0 if self.parent else LEDGER_MEMORY_BYTES
        return TURN_MEMORY_BYTES + SPENDING_MEMORY_BYTES + ledger_bytes

    @property
    def log_bytes(self) -> int:
        """Bytes that its record takes in the log."""
        return self.size + RECORD_OVERHEAD_BYTES


class StoredLedger:
    """Ledger of one program.

    Attributes:
        spending: What its turns have spent and reserved, by turn.
        retention_s: Retention time after its last change.
        expires_s: Time at which it expires.
        log_index: Index of its oldest record in the log; 0 before it has one.
    """

    __slots__ = ("spending", "retention_s", "expires_s", "log_index")

    def __init__(self) -> None:
        self.spending: dict[str, Spending] = {}
        self.retention_s = 0.0
        self.expires_s = 0.0
        self.log_index = 0

    @property
    def log_bytes(self) -> int:
        """Bytes that its records take in the log."""
        return len(self.spending) * RECORD_OVERHEAD_BYTES

    @property
    def memory_bytes(self) -> int:
        """Bytes of memory that it takes."""
        return LEDGER_MEMORY_BYTES + len(self.spending) * SPENDING_MEMORY_BYTES


class DiskState:
    """Turns and ledgers of one disk. Times are Unix times in seconds.

    Attributes:
        turns: Turns by id, in the order of their records in the log.
        programs: Ledgers by program, in the order of their oldest records in the log.
        memory_bytes: Memory that they take.
        log_bytes: Bytes that their records take in the log.
        record_count: Number of their records.
        sender_bytes: Bytes of turns in the log, by sender.
        sender_memory_bytes: Memory that turns and their entries in ledgers take, by sender.
    """

    def __init__(self) -> None:
        self.turns: dict[str, StoredTurn] = {}
        self.programs: dict[str, StoredLedger] = {}
        self.memory_bytes = 0
        self.log_bytes = 0
        self.record_count = 0
        self.sender_bytes: Counter[str] = Counter()
        self.sender_memory_bytes: Counter[str] = Counter()

    def __len__(self) -> int:
        """Returns the number of stored turns."""
        return len(self.turns)


def apply(
    state: DiskState,
    record: Record | TurnParts,
    now_s: float,
    encoded: bytes | memoryview | None = None,
    sender: str = "",
) -> bool:
    """Applies a record; returns False when the disk already has it or its settlement.

    Args:
        state: State of the disk.
        record: The record.
        now_s: Current time.
        encoded: Its encoded form, if there is one.
        sender: Whose turn it is.
    """
    if isinstance(record, Turn):
        return _apply_turn(state, record, now_s, encoded or encode(record), sender)
    if isinstance(record, TurnParts):
        assert encoded is not None
        return _apply_turn(state, record, now_s, encoded, sender)
    return _apply_spending(state, record, now_s)


def place(state: DiskState, record: Record | TurnParts, log_index: int) -> None:
    """Notes that an applied record is written behind all others.

    A record whose write failed is placed again, at an index that may be lower.
    """
    if isinstance(record, Turn | TurnParts):
        stored = state.turns.pop(record.turn, None)
        if stored is not None:
            stored.log_index = log_index
            state.turns[record.turn] = stored
        return
    ledger = state.programs.get(record.program)
    if ledger is not None and (not ledger.log_index or ledger.log_index >= log_index):
        move_ledger(state, record.program, log_index)


def move_turn(state: DiskState, stored: StoredTurn, log_index: int, record: bytes) -> None:
    """Notes that a turn's record is written again, behind all others."""
    if state.turns.pop(stored.turn, None) is not stored:
        return
    stored.log_index, stored.record = log_index, record
    state.turns[stored.turn] = stored


def move_ledger(state: DiskState, program: str, log_index: int) -> None:
    """Notes that all records of a ledger are written again, behind all others."""
    ledger = state.programs.pop(program, None)
    if ledger is not None:
        ledger.log_index = log_index
        state.programs[program] = ledger


def oldest_index(state: DiskState, none: int) -> int:
    """Returns the index of the oldest record that is needed; `none` if there is none."""
    turn, ledger = next(iter(state.turns.values()), None), next(iter(state.programs.values()), None)
    return min(turn.log_index if turn else none, ledger.log_index if ledger else none)


def spending_of(state: DiskState, program: str) -> tuple[Spending, ...]:
    """Returns the spending of a program's turns, as stored on this disk."""
    stored = state.programs.get(program)
    return tuple(stored.spending.values()) if stored else ()


def chain_of(state: DiskState, turn: str, known: Iterable[str] = ()) -> tuple[StoredTurn, ...]:
    """Returns a turn and its ancestors, newest first.

    The chain stops before the first turn in known, which the reader has cached, and before a turn
    that is missing here, so that the reader can query another disk for it. It also stops before a
    turn that it contains: callers name the turns, and those of two disks may name each other.
    """
    stop = set(known)
    chain: list[StoredTurn] = []
    while turn and turn not in stop and len(chain) < MAX_CHAIN:
        stored = state.turns.get(turn)
        if stored is None:
            break
        chain.append(stored)
        stop.add(turn)
        turn = stored.parent
    return tuple(chain)


def renew(state: DiskState, turns: Iterable[str], now_s: float) -> None:
    """Starts the retention time of turns again; those that are missing here are passed over."""
    for name in turns:
        stored = state.turns.get(name)
        if stored is not None:
            expires_s = now_s + stored.retention_s + EXPIRY_MARGIN_S
            stored.expires_s = max(stored.expires_s, expires_s)


def expire(state: DiskState, now_s: float) -> int:
    """Deletes expired turns and ledgers; returns how many were deleted."""
    turns = [stored for stored in state.turns.values() if stored.expires_s < now_s]
    programs = [name for name, ledger in state.programs.items() if ledger.expires_s < now_s]
    for stored in turns:
        _drop_turn(state, stored)
    for name in programs:
        _drop_ledger(state, name)
    return len(turns) + len(programs)


def ledger_records(state: DiskState) -> Iterator[Record]:
    """Yields records that recreate the ledgers when applied."""
    for name in state.programs:
        yield from records_of_ledger(state, name)


def records_of_ledger(state: DiskState, program: str) -> Iterator[Record]:
    """Yields records that recreate the ledger of a program when applied."""
    ledger = state.programs[program]
    for spending in ledger.spending.values():
        kind = Settlement if spending.settled else Reservation
        yield kind(program, spending.turn, spending.tokens, ledger.retention_s)


def _apply_turn(
    state: DiskState,
    turn: Turn | TurnParts,
    now_s: float,
    encoded: bytes | memoryview,
    sender: str,
) -> bool:
    expires_s = now_s + turn.retention_s + EXPIRY_MARGIN_S
    if turn.turn in state.turns:
        return False
    stored = StoredTurn(turn, expires_s, sender, encoded)
    state.turns[turn.turn] = stored
    state.memory_bytes += TURN_MEMORY_BYTES
    state.log_bytes += stored.log_bytes
    state.record_count += 1
    if sender:
        state.sender_bytes[sender] += stored.log_bytes
        state.sender_memory_bytes[sender] += stored.memory_bytes
    ancestor = state.turns.get(turn.parent)
    while ancestor is not None and ancestor.expires_s < expires_s:
        ancestor.expires_s = expires_s
        ancestor = state.turns.get(ancestor.parent)
    return True


def _apply_spending(state: DiskState, record: Reservation | Settlement, now_s: float) -> bool:
    ledger = state.programs.get(record.program)
    if ledger is None:
        ledger = state.programs[record.program] = StoredLedger()
        state.memory_bytes += LEDGER_MEMORY_BYTES
    ledger.retention_s = record.retention_s
    ledger.expires_s = max(ledger.expires_s, now_s + record.retention_s + EXPIRY_MARGIN_S)
    settled = isinstance(record, Settlement)
    existing = ledger.spending.get(record.turn)
    if existing is not None and (existing.settled or not settled):
        return False
    if existing is None:
        state.memory_bytes += SPENDING_MEMORY_BYTES
        state.log_bytes += RECORD_OVERHEAD_BYTES
        state.record_count += 1
    ledger.spending[record.turn] = Spending(record.turn, record.tokens, settled)
    return True


def _drop_turn(state: DiskState, stored: StoredTurn) -> None:
    del state.turns[stored.turn]
    state.memory_bytes -= TURN_MEMORY_BYTES
    state.log_bytes -= stored.log_bytes
    state.record_count -= 1
    if stored.sender:
        state.sender_bytes[stored.sender] -= stored.log_bytes
        state.sender_memory_bytes[stored.sender] -= stored.memory_bytes
        if state.sender_bytes[stored.sender] <= 0:
            del state.sender_bytes[stored.sender], state.sender_memory_bytes[stored.sender]


def _drop_ledger(state: DiskState, program: str) -> None:
    ledger = state.programs.pop(program)
    state.memory_bytes -= ledger.memory_bytes
    state.log_bytes -= ledger.log_bytes
    state.record_count -= len(ledger.spending)
