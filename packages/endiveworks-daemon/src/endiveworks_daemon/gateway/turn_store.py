"""Turns and ledgers on a quorum of disks, as a process without a disk reads and writes them."""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence

import xxhash
from endiveworks.errors import Code, Failure
from endiveworks.gateway.placement import Place
from endiveworks.members.member import Member
from endiveworks.telemetry import logs
from endiveworks.turns import messages
from endiveworks.turns.ledger import Ledger, Spending, fits, merge, spent
from endiveworks.turns.records import Record, Reservation, Settlement, Turn, encode
from endiveworks.turns.view import View, is_read, is_written
from returns.result import Failure as Err
from returns.result import Result, Success

from ..rpc import Handler
from .disk_links import RELAY
from .quorum import RPC_TIMEOUT_S, Question, Quorum

CACHE_BYTES = 24 * 1024 * 1024  # Turns kept in memory, a sixth of the smallest machine's.
CACHED_LEDGERS = 20_000  # Programs whose spending is remembered, several times those of a busy day.
SETTLE_TRIES = 5  # Tries after which a program's reservation stays in place of what it spent.
SETTLE_PAUSE_S = 0.5  # Pause between tries to write a settlement in the background.
COMMIT_PAUSE_S = 0.1  # Pause between tries to store a turn whose answer is ready.
# Turns for which there must be room before one is sent ahead of its reservation: itself, and
# sub-agents that other processes may be sending at the same time.
SPARE_TURNS = 4
ENTRY_ROLE = "entry"
KNOWN_TURNS = 64  # Ids sent with a question for a chain, so that the answer leaves them out.


class TurnStore:
    """Turns and ledgers; keeps nothing itself but a cache of what is on disk.

    Args:
        here: Place of this process, by which near disks go first.
    """

    def __init__(self, here: Place) -> None:
        self._here = here
        self._quorum = Quorum(here)
        self._turns: OrderedDict[str, Turn] = OrderedDict()
        self._turn_bytes = 0
        self._ledgers: OrderedDict[str, Ledger] = OrderedDict()
        self._background: set[asyncio.Task[None]] = set()

    def adopt(self, view: View | None) -> None:
        """Takes a view unless a newer one is known."""
        self._quorum.adopt(view)

    def follow(self, members: Iterable[Member], host: str) -> None:
        """Takes the processes of the deployment, over which disks can be reached from this host."""
        others = [m for m in members if m.role == ENTRY_ROLE and m.host != host]
        others.sort(key=lambda m: (m.region != self._here.region, m.host))
        # Spreads the load of processes that are cut off at once.
        near = [m for m in others if m.region == self._here.region]
        start = xxhash.xxh32_intdigest(host.encode()) % max(1, len(near))
        ordered = [*near[start:], *near[:start], *others[len(near) :]]
        self._quorum.links.set_relays([m.address for m in ordered])

    def handlers(self) -> dict[str, Handler]:
        """Returns the functions that answer messages of other processes."""
        return {RELAY: self._quorum.links.handler(self._quorum.is_in_use)}

    def is_reachable(self) -> bool:
        """Tells whether enough disks have answered when last asked."""
        return self._quorum.is_reachable()

    async def probe_forever(self) -> None:
        """Looks for disks that did not answer, again and again."""
        await self._quorum.probe_forever()

    def has_room(self, program: str, tokens: int, budget: int, is_new: bool) -> bool:
        """Tells whether the last ledger seen leaves room for several turns of a size.

        Args:
            program: The program.
            tokens: The most that a turn may generate.
            budget: What all its turns may generate.
            is_new: Whether the program has probably spent nothing yet, so that it needs no ledger.
        """
        if program not in self._ledgers and not is_new:
            return False
        return spent(self._ledgers.get(program, {})) + SPARE_TURNS * tokens <= budget

    async def reserve(
        self, reservation: Reservation, budget: int, timeout_s: float
    ) -> Result[bool, Failure]:
        """Reserves tokens of a program's budget; the value tells whether they fit.

        The reservation counts in any case once this returns without a failure; one that doesn't
        fit is to be settled with no tokens.
        """
        program, turn = reservation.program, reservation.turn
        # Counts at once for other turns of the program here, before any disk has answered.
        self._remember(program, {turn: Spending(turn, reservation.tokens, False)})
        stored = await self._store([reservation], program, timeout_s)
        if not isinstance(stored, Success):
            return Err(stored.failure())
        ledger = stored.unwrap()
        self._remember(program, ledger)
        return Success(fits(ledger, reservation.turn, reservation.tokens, budget))

    async def commit(
        self, turn: Turn, settlement: Settlement | None, timeout_s: float
    ) -> Result[None, Failure]:
        """Makes a turn and what it spent durable; only then may its answer end."""
        records: list[Record] = [turn] if settlement is None else [turn, settlement]
        deadline_s = time.monotonic() + timeout_s
        stored = await self._store(records, "", timeout_s)
        while not isinstance(stored, Success):
            # The answer is generated, so it is worth waiting until the disks are back.
            if time.monotonic() + COMMIT_PAUSE_S >= deadline_s:
                return Err(stored.failure())
            await asyncio.sleep(COMMIT_PAUSE_S)
            stored = await self._store(records, "", deadline_s - time.monotonic())
        if settlement is not None:
            self._note(settlement)
        self._cache(turn)
        return Success(None)

    def settle(self, settlement: Settlement) -> None:
        """Replaces a reservation by what was generated, in the background."""
        self._note(settlement)
        task = asyncio.create_task(self._settle(settlement))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def settled(self) -> None:
        """Waits until all settlements are written."""
        while self._background:
            await asyncio.wait(set(self._background))

    async def chain(self, turn: str, timeout_s: float) -> Result[tuple[Turn, ...] | None, Failure]:
        """Returns a turn and all before it, oldest first; None when no such turn exists."""
        chain: list[Turn] = []
        at = turn
        while at:
            found = self._turns.get(at)
            if found is None:
                fetched = await self._fetch(at, timeout_s)
                if not isinstance(fetched, Success):
                    return Err(fetched.failure())
                found = fetched.unwrap()
                if found is None and not chain:
                    return Success(None)
                if found is None:
                    detail = f"the turn before {chain[-1].turn} is missing"
                    return Err(Failure(Code.CORRUPT, "turns.chain", "", detail, not_run=True))
            else:
                self._turns.move_to_end(at)
            chain.append(found)
            at = found.parent
        return Success(tuple(reversed(chain)))

    async def _settle(self, settlement: Settlement) -> None:
        for _ in range(SETTLE_TRIES):
            stored = await self._store([settlement], "", RPC_TIMEOUT_S)
            if isinstance(stored, Success):
                return
            await asyncio.sleep(SETTLE_PAUSE_S)
        # The reservation stays, so that the budget can't be exceeded; it ends with the ledger.
        logs.logger("turns").warning(
            "settlement_lost",
            program=settlement.program,
            request=settlement.turn,
            tokens=settlement.tokens,
            detail=str(stored.failure()),
        )

    def _note(self, settlement: Settlement) -> None:
        known = self._ledgers.get(settlement.program)
        if known is not None:
            known[settlement.turn] = Spending(settlement.turn, settlement.tokens, True)

    def _remember(self, program: str, ledger: Ledger) -> None:
        known = self._ledgers.get(program, {})
        self._ledgers[program] = merge([known.values(), ledger.values()])
        self._ledgers.move_to_end(program)
        if len(self._ledgers) > CACHED_LEDGERS:
            self._ledgers.popitem(last=False)

    def _cache(self, turn: Turn) -> None:
        if turn.turn in self._turns:
            return
        self._turns[turn.turn] = turn
        self._turn_bytes += len(turn.prompt) + len(turn.output)
        while self._turn_bytes > CACHE_BYTES:
            _, old = self._turns.popitem(last=False)
            self._turn_bytes -= len(old.prompt) + len(old.output)

    async def _store(
        self, records: Sequence[Record], program: str, timeout_s: float
    ) -> Result[Ledger, Failure]:
        encoded = [encode(record) for record in records]

        def message(view: View) -> messages.Store:
            return messages.Store(view.epoch, encoded, program)

        def enough(view: View, folders: Collection[str]) -> bool:
            return is_written(view, folders) and (not program or is_read(view, folders))

        question = Question(messages.STORE, messages.Stored, message, enough)
        replies = await self._quorum.ask(question, timeout_s)
        return replies.map(lambda found: merge(reply.spending for reply in found))

    async def _fetch(self, turn: str, timeout_s: float) -> Result[Turn | None, Failure]:
        known = list(self._turns)[-KNOWN_TURNS:]

        def message(view: View) -> messages.Fetch:
            return messages.Fetch(view.epoch, turn, known)

        def suffices(reply: messages.Fetched) -> bool:
            return bool(reply.chain)

        question = Question(messages.FETCH, messages.Fetched, message, is_read, suffices)
        replies = await self._quorum.ask(question, timeout_s)
        if not isinstance(replies, Success):
            return Err(replies.failure())
        for reply in replies.unwrap():
            for kept in reply.chain:
                self._cache(kept)
        return Success(self._turns.get(turn))
