"""Client of the disks that store turns and ledgers, for processes that have no disk themselves."""

import asyncio
import time
from collections.abc import Callable, Collection, Iterable, Sequence
from contextlib import AsyncExitStack
from typing import NamedTuple

from endiveworks.errors import Code, Failure
from endiveworks.gateway.memory_budget import ORDINARY_BYTES
from endiveworks.gateway.placement import Location
from endiveworks.members.member import Member
from endiveworks.telemetry import logs
from endiveworks.turns import messages
from endiveworks.turns.disk import RECORD_OVERHEAD_BYTES
from endiveworks.turns.ledger import Ledger, Spending, allocated_tokens, fits_budget, merge_ledgers
from endiveworks.turns.records import Record, Reservation, Settlement, Turn, encode
from endiveworks.turns.room import RoomRequest
from endiveworks.turns.store_time import StoreTime
from endiveworks.turns.view import View, all_disks, is_read_quorum, is_write_quorum
from returns.result import Failure as Err
from returns.result import Result, Success

from ..rpc import Handler
from .chain_renewal import ChainRenewer
from .disk_links import RELAY
from .ledger_cache import LedgerCache
from .quorum import RPC_TIMEOUT_S, QuorumCall, QuorumClient
from .relays import relay_addresses
from .turn_cache import TurnCache

# Share of the room on disks up to which ordinary turns are sent without waiting until room is held.
AMPLE_SHARE = 0.5
# Time for which it counts what a disk has told of its room. One disk tells of the others: each turn
# is on most of them.
ROOM_TOLD_S = 10.0
# Attempts to write a settlement; if all fail, the reservation keeps counting against the budget.
MAX_SETTLE_ATTEMPTS = 5
SETTLE_RETRY_S = 0.5  # Pause between attempts to write a settlement in the background.
COMMIT_RETRY_S = 0.1  # Pause between attempts to store a turn that has been generated.
# Turns that must fit into the remaining budget before one is sent ahead of its reservation: the
# turn itself, and turns of sub-agents that other processes may be sending at the same time.
HEADROOM_TURNS = 4


class _ToldRoom(NamedTuple):
    """What a disk has told of its room.

    Attributes:
        used_share: Share of it that is taken.
        at_s: Monotonic time at which it was told.
    """

    used_share: float
    at_s: float


class _ChainMemory:
    """Memory for a long chain, which is claimed before its turns are read.

    Args:
        claim: Takes memory for bytes; returns whether there was any.
    """

    def __init__(self, claim: Callable[[int], bool]) -> None:
        self._claim = claim
        self._unread = 0
        self._cached = 0
        self._claimed_cached = 0

    def cover(self, size: int) -> bool:
        """Claims what is missing for the unread part of a chain; returns whether there was any."""
        missing = size - self._unread
        if missing > 0 and not self._claim(missing):
            return False
        self._unread = max(self._unread, size)
        return True

    def hold_cached(self, size: int) -> bool:
        """Claims what is missing for turns from the cache, which may evict them meanwhile.

        Short chains are not counted.
        """
        self._cached += size
        missing = self._cached - self._claimed_cached
        if self._cached <= messages.PAGE_BYTES or not missing:
            return True
        if not self._claim(missing):
            return False
        self._claimed_cached = self._cached
        return True

    def record_read(self, size: int) -> None:
        """Notes that bytes of the chain have been read."""
        self._unread = max(0, self._unread - size)


class TurnStore:
    """Reads and writes turns and ledgers on a quorum of disks; holds only a cache of them itself.

    Args:
        here: Location of this process; disks near it are called first.
    """

    def __init__(self, here: Location) -> None:
        self._here = here
        self._quorum = QuorumClient(here)
        self._turns = TurnCache()
        self._renewer = ChainRenewer(self._quorum)
        self._ledgers = LedgerCache()
        self._told_rooms: dict[str, _ToldRoom] = {}
        # Folders of the disks that hold room for turns under way.
        self._holders: dict[str, frozenset[str]] = {}
        # Held while a long turn or chain is transferred, whose message takes several times its
        # size of memory.
        self._long_transfer = asyncio.Lock()
        self._background: set[asyncio.Task[None]] = set()
        self._store_time = StoreTime()

    def adopt(self, view: View | None) -> None:
        """Switches to a view if it is newer than the current one."""
        self._quorum.adopt(view)
        folders = {disk.folder for disk in all_disks(view)} if view else set()
        for folder in self._told_rooms.keys() - folders:
            del self._told_rooms[folder]

    def set_on_view(self, on_view: Callable[[View], None]) -> None:
        """Sets the function that is called with each newer view, also one that a disk tells."""
        self._quorum.on_view = on_view

    def update_relays(self, members: Iterable[Member], host: str) -> None:
        """Selects the entries on other hosts as relays to the disks, those of this region first."""
        self._quorum.links.set_relays(relay_addresses(members, host, self._here.region))

    def handlers(self) -> dict[str, Handler]:
        """Returns the handlers for RPCs of other processes, by method name."""
        return {RELAY: self._quorum.links.relay_handler(self._quorum.is_in_use)}

    def store_time_s(self) -> float:
        """Returns how long writes to the disks take lately, in seconds."""
        return self._store_time.recent_s(time.monotonic())

    def is_reachable(self) -> bool:
        """Tells whether the disks that replied to their latest call suffice to write and read."""
        return self._quorum.is_reachable()

    async def probe_forever(self) -> None:
        """Probes unreachable and relayed disks periodically."""
        await self._quorum.probe_forever()

    def has_headroom(self, program: str, tokens: int, budget: int, is_new: bool) -> bool:
        """Tells whether the cached ledger leaves budget for HEADROOM_TURNS turns.

        Args:
            program: Id of the program.
            tokens: Maximum number of tokens that one turn may generate.
            budget: Number of tokens that all turns of the program may generate together.
            is_new: Whether the program has probably spent nothing yet, so that no cached ledger is
                needed.
        """
        if program not in self._ledgers and not is_new:
            return False
        return allocated_tokens(self._ledgers.get(program)) + HEADROOM_TURNS * tokens <= budget

    def has_other_turns(self, program: str, turn: str) -> bool:
        """Returns whether a program has spent or reserved tokens for other turns, as far as known.

        All is known once `reserve` has returned for the turn.
        """
        return allocated_tokens(self._ledgers.get(program), excluded_turn=turn) > 0

    def has_ample_room(self, size: int) -> bool:
        """Tells whether disks have so much room that a turn can be sent before it is held.

        Args:
            size: Bytes that are to be stored.
        """
        since_s = time.monotonic() - ROOM_TOLD_S
        recent = [told for told in self._told_rooms.values() if told.at_s >= since_s]
        is_ample = all(told.used_share <= AMPLE_SHARE for told in recent)
        return size <= ORDINARY_BYTES and bool(recent) and is_ample

    async def hold_room(self, room: RoomRequest, timeout_s: float) -> Result[None, Failure]:
        """Holds room for a turn on disks; code OVERLOADED means that there is none."""
        stored = await self._store([], "", timeout_s, room)
        return stored.map(lambda _: None)

    async def reserve(
        self,
        reservation: Reservation,
        budget: int,
        timeout_s: float,
        room: RoomRequest | None = None,
    ) -> Result[bool, Failure]:
        """Reserves tokens of a program's budget; the result tells whether they fit.

        Unless this returns a failure, the reservation counts whether it fits or not; the caller
        must settle one that doesn't fit with zero tokens. With code OVERLOADED there is no room on
        the disks, and nothing is to be settled.

        Args:
            reservation: The tokens.
            budget: Tokens that all turns of the program may generate together.
            timeout_s: Time limit in seconds.
            room: Room that the turn needs; None for none.
        """
        program, turn = reservation.program, reservation.turn
        # Counts at once for other turns of the program in this process, before any disk replies.
        self._ledgers.merge(program, {turn: Spending(turn, reservation.tokens, False)})
        stored = await self._store([reservation], program, timeout_s, room)
        if not isinstance(stored, Success):
            if stored.failure().code is Code.OVERLOADED:
                self._withdraw(reservation)
            return Err(stored.failure())
        ledger = stored.unwrap()
        self._ledgers.merge(program, ledger)
        return Success(fits_budget(ledger, reservation.turn, reservation.tokens, budget))

    def _withdraw(self, reservation: Reservation) -> None:
        """Gives back a reservation for which there is no room, at the disks that have stored it."""
        unused = Settlement(reservation.program, reservation.turn, 0, reservation.retention_s)
        if self._holders.get(reservation.turn):
            self.settle(unused)
        else:
            self._ledgers.settle(unused)

    async def commit(
        self, turn: Turn, settlement: Settlement | None, timeout_s: float
    ) -> Result[None, Failure]:
        """Makes a turn and its settlement durable; its response must not be completed earlier."""
        records: list[Record] = [turn] if settlement is None else [turn, settlement]
        deadline_s = time.monotonic() + timeout_s
        async with AsyncExitStack() as stack:
            if len(turn.prompt) + len(turn.output) > ORDINARY_BYTES:
                await stack.enter_async_context(self._long_transfer)
            stored = await self._store(records, "", deadline_s - time.monotonic())
            while not isinstance(stored, Success):
                # The response is already generated, so waiting until disks recover is worthwhile.
                if time.monotonic() + COMMIT_RETRY_S >= deadline_s:
                    return Err(stored.failure())
                await asyncio.sleep(COMMIT_RETRY_S)
                stored = await self._store(records, "", deadline_s - time.monotonic())
        self._holders.pop(turn.turn, None)
        if settlement is not None:
            self._ledgers.settle(settlement)
        self._turns.add(turn)
        self._renewer.record(turn)
        return Success(None)

    def settle(self, settlement: Settlement) -> None:
        """Replaces a reservation with the tokens generated, in the background."""
        self._holders.pop(settlement.turn, None)
        self._ledgers.settle(settlement)
        task = asyncio.create_task(self._settle(settlement))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def wait_settled(self) -> None:
        """Waits until no settlement is being written in the background."""
        while self._background:
            await asyncio.wait(set(self._background))

    def forget_room(self, turn: str) -> None:
        """Forgets where room is held for a turn that has ended without being stored."""
        self._holders.pop(turn, None)

    async def read_chain(
        self, turn: str, timeout_s: float, claim: Callable[[int], bool] = lambda _: True
    ) -> Result[tuple[Turn, ...] | None, Failure]:
        """Returns a turn and all its predecessors, oldest first; None if the turn doesn't exist.

        Args:
            turn: Id of the turn.
            timeout_s: Time limit of each read in seconds.
            claim: Takes memory for bytes of a long chain before they are read; returns whether
                there was any. If not, the result is a failure with code OVERLOADED.
        """
        chain: list[Turn] = []
        fetched: dict[str, Turn] = {}
        memory = _ChainMemory(claim)
        seen: set[str] = set()
        turn_id = turn
        while turn_id:
            if turn_id in seen:
                detail = f"the turns before {turn} continue each other"
                return Err(Failure(Code.CORRUPT, "turns.chain", "", detail, not_run=True))
            seen.add(turn_id)
            found = fetched.get(turn_id)
            if found is None:
                found = self._turns.get(turn_id)
                if found is not None and not memory.hold_cached(_log_bytes(found)):
                    return Err(_no_memory())
            if found is None:
                result = await self._fetch_claimed(turn_id, timeout_s, memory)
                if not isinstance(result, Success):
                    return Err(result.failure())
                replies = result.unwrap()
                # The cache may have evicted them already.
                fetched |= {found.turn: found for reply in replies for found in reply.chain}
                found = fetched.get(turn_id)
                if found is None:
                    self._log_missing(turn, turn_id, [reply.folder for reply in replies])
                    if not chain:
                        return Success(None)
                    detail = f"the turn before {chain[-1].turn} is missing"
                    return Err(Failure(Code.CORRUPT, "turns.chain", "", detail, not_run=True))
            chain.append(found)
            turn_id = found.parent
        chain.reverse()
        if chain:
            self._renewer.renew(chain)
        return Success(tuple(chain))

    def _log_missing(self, turn: str, missing: str, folders: Collection[str]) -> None:
        view = self._quorum.view
        tenant, _, name = turn.rpartition("\n")
        logs.logger("turns").warning(
            "turn_missing",
            tenant=tenant,
            previous_turn=name,
            epoch=view.epoch if view else 0,
            copies=(
                [disk.host for disk in all_disks(view) if disk.folder in folders] if view else []
            ),
            reason="unknown turn" if missing == turn else "broken chain",
            detail="" if missing == turn else f"its ancestor {missing!r} is missing",
        )

    async def _settle(self, settlement: Settlement) -> None:
        for _ in range(MAX_SETTLE_ATTEMPTS):
            stored = await self._store([settlement], "", RPC_TIMEOUT_S)
            if isinstance(stored, Success):
                return
            await asyncio.sleep(SETTLE_RETRY_S)
        # The reservation stays until the ledger expires, so that the budget can't be exceeded.
        logs.logger("turns").warning(
            "settlement_lost",
            program=settlement.program,
            request=settlement.turn,
            tokens=settlement.tokens,
            detail=str(stored.failure()),
        )

    async def _store(
        self,
        records: Sequence[Record],
        program: str,
        timeout_s: float,
        room: RoomRequest | None = None,
    ) -> Result[Ledger, Failure]:
        def build_message(view: View) -> messages.Store:
            encoded = [encode(record) for record in records]
            return messages.Store(view.epoch, encoded, program, room)

        def has_quorum(view: View, folders: Collection[str]) -> bool:
            return is_write_quorum(view, folders) and (not program or is_read_quorum(view, folders))

        def on_reply(reply: messages.Stored) -> None:
            self._told_rooms[reply.folder] = _ToldRoom(reply.used_share, time.monotonic())
            if room is not None and not reply.refused_s:
                holders = self._holders.get(room.turn, frozenset())
                self._holders[room.turn] = holders | {reply.folder}

        holders: Collection[str] = ()
        for record in records:
            holders = holders or self._holders.get(record.turn, ())
        call = QuorumCall(
            messages.STORE,
            messages.Stored,
            build_message,
            has_quorum,
            refused_s=lambda reply: reply.refused_s,
            # Another disk may be in another region, whose link a long turn would fill.
            is_final=room is not None and room.size > ORDINARY_BYTES,
            preferred=holders,
            on_reply=on_reply,
        )
        started_s = time.monotonic()
        result = await self._quorum.call(call, timeout_s)
        now_s = time.monotonic()
        self._store_time.record(now_s - started_s, now_s)
        return result.map(lambda replies: merge_ledgers(reply.spending for reply in replies))

    async def _fetch_claimed(
        self, turn: str, timeout_s: float, memory: "_ChainMemory"
    ) -> Result[list[messages.Fetched], Failure]:
        """Returns the replies of disks on a turn and its ancestors, if there is memory for them."""
        result = await self._fetch(turn, messages.PAGE_BYTES, timeout_s)
        replies = result.value_or([])
        size = max((reply.chain_bytes for reply in replies), default=0)
        if size > messages.PAGE_BYTES and not memory.cover(size):
            return Err(_no_memory())
        if size and not any(reply.chain for reply in replies):
            async with self._long_transfer:
                result = await self._fetch(turn, size, timeout_s)
        for reply in result.value_or([]):
            memory.record_read(sum(map(_log_bytes, reply.chain)))
        return result

    async def _fetch(
        self, turn: str, max_bytes: int, timeout_s: float
    ) -> Result[list[messages.Fetched], Failure]:
        """Caches a turn and its ancestors as far as a disk holds them; returns the replies."""
        known_ids = self._turns.known_ids()

        def build_message(view: View) -> messages.Fetch:
            return messages.Fetch(view.epoch, turn, known_ids, max_bytes)

        def is_sufficient(reply: messages.Fetched) -> bool:
            return bool(reply.chain) or reply.chain_bytes > 0

        call = QuorumCall(
            messages.FETCH, messages.Fetched, build_message, is_read_quorum, is_sufficient
        )
        result = await self._quorum.call(call, timeout_s)
        for reply in result.value_or([]):
            for fetched in reply.chain:
                self._turns.add(fetched)
        return result


def _no_memory() -> Failure:
    detail = "there is too little memory for a long chain"
    return Failure(Code.OVERLOADED, "turns.chain", "", detail, not_run=True)


def _log_bytes(turn: Turn) -> int:
    """Returns what a turn counts for in the size of a chain that a disk tells."""
    return len(turn.prompt) + len(turn.output) + RECORD_OVERHEAD_BYTES
