"""Renews the retention of a chain of turns at every disk that holds a part of it.

A turn extends the retention of its ancestors at the disks that store it, as far as these hold the
chain without a gap. Other disks learn of it only from this renewal.
"""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Collection, Sequence

from endiveworks.telemetry import logs
from endiveworks.turns import messages
from endiveworks.turns.records import Turn
from endiveworks.turns.view import View
from returns.result import Success

from .quorum import RPC_TIMEOUT_S, QuorumCall, QuorumClient

RENEW_PERIOD_S = 20.0  # Interval between renewals of a chain; a fraction of EXPIRY_MARGIN_S.
RETRY_S = 2.0  # Pause after a renewal that did not reach every disk.
MAX_RENEWED_CHAINS = 20_000  # Chains whose last renewal is known; several times those in use.


class ChainRenewer:
    """Tells the disks in the background which turns a new turn continues."""

    def __init__(self, quorum: QuorumClient) -> None:
        self._quorum = quorum
        self._renewed_s: OrderedDict[str, float] = OrderedDict()  # By the newest turn of the chain.
        self._tasks: set[asyncio.Task[None]] = set()

    def record(self, turn: Turn) -> None:
        """Records that a turn has been stored now, and its ancestors as they were last renewed."""
        at_s = self._renewed_s.get(turn.parent) if turn.parent else time.monotonic()
        if at_s is not None:
            self._record(turn.turn, at_s)

    def renew(self, chain: Sequence[Turn]) -> None:
        """Renews a chain, oldest turn first, unless it was renewed within RENEW_PERIOD_S."""
        newest = chain[-1].turn
        known_s = self._renewed_s.get(newest)
        if known_s is not None and time.monotonic() - known_s < RENEW_PERIOD_S:
            return
        self._record(newest, time.monotonic())
        task = asyncio.create_task(self._renew([turn.turn for turn in chain]))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _renew(self, turns: list[str]) -> None:
        def build_message(view: View) -> messages.Fetch:
            return messages.Fetch(view.epoch, "", turns)

        call = QuorumCall(messages.FETCH, messages.Fetched, build_message, self._includes_all)
        result = await self._quorum.call(call, RPC_TIMEOUT_S)
        if not isinstance(result, Success):
            self._record(turns[-1], time.monotonic() - RENEW_PERIOD_S + RETRY_S)
            logs.logger("turns").info("renewal_failed", detail=str(result.failure()))

    def _record(self, turn: str, renewed_s: float) -> None:
        self._renewed_s[turn] = renewed_s
        self._renewed_s.move_to_end(turn)
        if len(self._renewed_s) > MAX_RENEWED_CHAINS:
            self._renewed_s.popitem(last=False)

    def _includes_all(self, view: View, folders: Collection[str]) -> bool:
        return all(disk.folder in folders for disk in self._quorum.present(view))
