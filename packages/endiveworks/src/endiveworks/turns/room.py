"""How much of a disk and of its process's memory turns may take, and who is refused for want of it.

A turn that was answered stays until it expires, so what there is no room for must be refused before
a replica runs it. Each disk decides for itself, and holds the room that it has granted until the
turn is stored or settled.

New turns take at most a part of what a disk can keep: of `2 * tolerance + 1` disks, `tolerance + 1`
have each turn, so all turns together take up to `2 - 1 / (tolerance + 1)` times what one disk has.
They still fit on one disk, and a disk that joins can copy them.
"""

import itertools
import math
from typing import NamedTuple

from .disk import (
    LEDGER_MEMORY_BYTES,
    RECORD_OVERHEAD_BYTES,
    SPENDING_MEMORY_BYTES,
    TURN_MEMORY_BYTES,
    DiskState,
)

BYTES_PER_MB = 1_000_000  # The settings count in decimal megabytes.
# Memory of a disk process beside its state: 25 MB for the interpreter and the links, 20 MB for the
# origins of streams, and messages and writes under way, with the list that a joining disk asks for.
BASE_MEMORY_BYTES = 85 * BYTES_PER_MB
# State on machines whose memory hardly exceeds the base.
MIN_STATE_BYTES = 8 * BYTES_PER_MB
# Share of the disk that needed records may take; the rest is for records that are no longer needed
# and for the segment that is written.
LOG_SHARE = 0.68
# A turn of up to this size may take the last of the room. The longer a turn, the more must stay
# free, so that those who send long ones leave room for the others.
SMALL_TURN_BYTES = 16 * 1024
# Share of the room up to which turns of LONG_TURN_BYTES and more are admitted.
LONG_TURN_SHARE = 0.5
LONG_TURN_BYTES = 512 * 1024  # See LONG_TURN_SHARE.
# Share of the room, and of a sender's, up to which turns that continue no other one are admitted.
FIRST_TURN_SHARE = 0.9
TENANT_SHARE = 0.75  # Share of the room that the turns of one tenant may take.
# Share that those of one address may take, which many callers may have in common.
ADDRESS_SHARE = 0.9
# Turns in the ledger of one program, which each of its turns reads whole.
MAX_PROGRAM_TURNS = 10_000
MIN_WAIT_S = 1.0  # Least time after which a refused sender is asked to return.
# Longest such time. Room that is held for turns under way may be free before a turn expires.
MAX_WAIT_S = 30.0
MAX_LOOKAHEAD = 4096  # Turns that are looked at to tell when enough room is free again.


class RoomLimits(NamedTuple):
    """The most that the state of a disk may take; infinite without a limit.

    Attributes:
        memory_bytes: Memory, in bytes.
        log_bytes: Records in the log, in bytes.
    """

    memory_bytes: float = math.inf
    log_bytes: float = math.inf


class RoomRequest(NamedTuple):
    """Asks for room for a turn and for what its program spends on it.

    Attributes:
        turn: Id of the turn's request.
        size: Bytes of its prompt and, as far as known, of its output.
        sender: Whose turn it is; empty if it is not known.
        is_first: Whether it continues no other turn.
        is_tenant: Whether the sender is a tenant, or else the address of a caller.
        hold_s: Time for which the room is held unless the turn is stored or settled before.
    """

    turn: str
    size: int
    sender: str
    is_first: bool
    is_tenant: bool
    hold_s: float


class _Need(NamedTuple):
    """Bytes that something takes."""

    memory: int
    log: int

    def plus(self, other: "_Need") -> "_Need":
        """Returns the sum of both."""
        return _Need(self.memory + other.memory, self.log + other.log)


_NOTHING = _Need(0, 0)


class _Hold(NamedTuple):
    need: _Need
    sender: str
    until_s: float


def room_limits(memory_mb: float, disk_mb: float) -> RoomLimits:
    """Returns the limits of a disk.

    Args:
        memory_mb: Memory of the process in megabytes; 0 if it is not limited.
        disk_mb: Size of the disk in megabytes; 0 if it is not limited.
    """
    memory_bytes, log_bytes = math.inf, math.inf
    if memory_mb > 0:
        memory_bytes = max(MIN_STATE_BYTES, memory_mb * BYTES_PER_MB - BASE_MEMORY_BYTES)
    if disk_mb > 0:
        log_bytes = disk_mb * BYTES_PER_MB * LOG_SHARE
    return RoomLimits(memory_bytes, log_bytes)


def admitted_share(size: int, is_first: bool) -> float:
    """Returns the share of the room up to which a turn of a size in bytes is admitted."""
    steps = math.log(LONG_TURN_BYTES / SMALL_TURN_BYTES)
    length = min(1.0, max(0.0, math.log(max(size, 1) / SMALL_TURN_BYTES)) / steps)
    share = 1.0 - (1.0 - LONG_TURN_SHARE) * length
    return share * FIRST_TURN_SHARE if is_first else share


class Room:
    """The room of one disk. Times are Unix times in seconds.

    Args:
        state: State of the disk.
        limits: The most that it may take.
        tolerance: Disks that may be lost at once.

    Attributes:
        limits: The most that the state may take.
        admitted: The most that it may take with turns that room is asked for.
    """

    def __init__(self, state: DiskState, limits: RoomLimits, tolerance: int = 1) -> None:
        self._state = state
        self.limits = limits
        part = (tolerance + 1) / (2 * tolerance + 1)
        self.admitted = RoomLimits(*(limit * part for limit in limits))
        self._holds: dict[str, _Hold] = {}
        self._held = _NOTHING
        self._held_by: dict[str, _Need] = {}  # By sender.

    def request(self, req: RoomRequest, now_s: float, program: str = "") -> float:
        """Holds room for a turn; returns 0, or the time after which there may be room.

        Args:
            req: What the turn needs.
            now_s: Current time.
            program: The program in whose ledger the turn is entered; empty for none.
        """
        self._drop_expired(now_s)
        if req.turn in self._holds:
            return 0.0
        ledger = self._state.programs.get(program)
        if ledger is not None and len(ledger.spending) >= MAX_PROGRAM_TURNS:
            return MAX_WAIT_S
        need = _need(req.size)
        missing = self._missing(req, need)
        if missing.memory > 0 or missing.log > 0:
            return self._wait_s(missing, now_s)
        self._holds[req.turn] = _Hold(need, req.sender, now_s + req.hold_s)
        self._hold(req.sender, need)
        return 0.0

    def release(self, turn: str) -> str:
        """Gives the room back that was held for a turn; returns its sender, empty if not known."""
        hold = self._holds.pop(turn, None)
        if hold is None:
            return ""
        self._hold(hold.sender, _Need(-hold.need.memory, -hold.need.log))
        if not any(self._held_by[hold.sender]):
            del self._held_by[hold.sender]
        return hold.sender

    def _hold(self, sender: str, need: _Need) -> None:
        self._held = self._held.plus(need)
        self._held_by[sender] = self._held_by.get(sender, _NOTHING).plus(need)

    def fits(self, size: int) -> bool:
        """Returns whether records of a size can be kept at all, beyond what is admitted."""
        need = _need(size)
        return (
            self._state.memory_bytes + need.memory <= self.limits.memory_bytes
            and self._state.log_bytes + need.log <= self.limits.log_bytes
        )

    def used_share(self) -> float:
        """Returns the share of the room that is taken or held; 0 without limits."""
        admitted, used = self.admitted, self._used().plus(self._held)
        return max(used.memory / admitted.memory_bytes, used.log / admitted.log_bytes)

    def held_bytes(self) -> int:
        """Returns the bytes of the log that are held for turns under way."""
        return self._held.log

    def _missing(self, req: RoomRequest, need: _Need) -> _Need:
        """Returns how much must be given back before there is room."""
        share = admitted_share(req.size, req.is_first)
        missing = self._beyond(self._used().plus(self._held).plus(need), share)
        if not req.sender:
            return missing
        state = self._state
        taken = _Need(state.sender_memory_bytes[req.sender], state.sender_bytes[req.sender])
        taken = taken.plus(self._held_by.get(req.sender, _NOTHING)).plus(need)
        sender_share = TENANT_SHARE if req.is_tenant else ADDRESS_SHARE
        sender_share *= FIRST_TURN_SHARE if req.is_first else 1.0
        of_sender = self._beyond(taken, sender_share)
        return _Need(max(missing.memory, of_sender.memory), max(missing.log, of_sender.log))

    def _used(self) -> _Need:
        return _Need(self._state.memory_bytes, self._state.log_bytes)

    def _beyond(self, taken: _Need, share: float) -> _Need:
        """Returns how much is taken beyond a share of what is admitted."""
        memory = taken.memory - self.admitted.memory_bytes * share
        log = taken.log - self.admitted.log_bytes * share
        return _Need(math.ceil(memory) if memory > 0 else 0, math.ceil(log) if log > 0 else 0)

    def _wait_s(self, missing: _Need, now_s: float) -> float:
        """Returns the time until the oldest turns that take what is missing have expired."""
        memory, log, until_s = missing.memory, missing.log, now_s
        for stored in itertools.islice(self._state.turns.values(), MAX_LOOKAHEAD):
            if memory <= 0 and log <= 0:
                break
            memory -= TURN_MEMORY_BYTES
            log -= stored.log_bytes
            until_s = max(until_s, stored.expires_s)
        return min(MAX_WAIT_S, max(MIN_WAIT_S, until_s - now_s))

    def _drop_expired(self, now_s: float) -> None:
        while self._holds:
            turn, hold = next(iter(self._holds.items()))
            if hold.until_s > now_s:
                return
            self.release(turn)


def _need(size: int) -> _Need:
    """Returns what a turn takes, with its ledger as if it were the first turn of a program."""
    memory = TURN_MEMORY_BYTES + LEDGER_MEMORY_BYTES + SPENDING_MEMORY_BYTES
    return _Need(memory, size + 2 * RECORD_OVERHEAD_BYTES)
