"""Questions to the disks that hold turns: near ones first, further ones when these are late."""

import asyncio
import time
from collections.abc import Callable, Collection, Coroutine
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

from endiveworks.errors import Code, Failure
from endiveworks.gateway.placement import Place
from endiveworks.telemetry import logs
from endiveworks.turns import messages
from endiveworks.turns.view import Disk, View, disks, is_read, is_written
from returns.result import Failure as Err
from returns.result import Result, Success

from .disk_links import DiskLinks

RPC_TIMEOUT_S = 0.7  # Several times the way between regions and a sync.
PROBE_PERIOD_S = 0.25  # Disks that are back are found within this time.
# A further disk is asked when those asked have not answered within the usual time of a sync and
# of the way, which is longer where one of them is in another region.
HEDGE_NEAR_S = 0.06
HEDGE_FAR_S = 0.12  # As HEDGE_NEAR_S, with the way between regions and back.
CUT_AFTER_S = 0.25  # Silence after which the way to a disk may be cut; twice the longest hedge.
SUSPECT_S = 1.5  # Time for which a disk that was late or failed is asked last.


class Reply(Protocol):
    """What every answer of a disk says."""

    @property
    def folder(self) -> str:
        """Data folder that answers."""

    @property
    def newer(self) -> View | None:
        """A view that is newer than the asker's, when the question was refused for it."""


_R = TypeVar("_R", bound=Reply)

# Sends a message to a disk: disk, method, message, type of the answer, timeout in seconds.
Call = Callable[..., Coroutine[Any, Any, Result[Any, Failure]]]


class Question(NamedTuple, Generic[_R]):
    """What is asked of the disks.

    Attributes:
        method: Name of the message.
        answer: Type of the answer.
        message: Returns the message for a view.
        enough: Tells whether answers of these folders suffice.
        suffices: Tells whether one answer suffices alone.
    """

    method: str
    answer: type[_R]
    message: Callable[[View], object]
    enough: Callable[[View, Collection[str]], bool]
    suffices: Callable[[_R], bool] = lambda _: False


class Way(NamedTuple):
    """A disk and how to send it a message; is_over tells whether over another process."""

    disk: Disk
    call: Call
    is_over: bool


class Quorum:
    """The disks in use as one process sees them."""

    def __init__(self, here: Place) -> None:
        self._here = here
        self.view: View | None = None
        self.links = DiskLinks()
        self._suspects: dict[str, float] = {}
        self._unreachable: set[str] = set()
        self._heard_s: dict[str, float] = {}
        self._late: set[asyncio.Task[Any]] = set()

    def adopt(self, view: View | None) -> None:
        """Takes a view unless a newer one is known."""
        if view is None or (self.view is not None and view.epoch <= self.view.epoch):
            return
        self.view = view
        in_use = disks(view)
        logs.logger("turns").info(
            "view_adopted", epoch=view.epoch, copies=[disk.host for disk in in_use]
        )
        self.links.keep(in_use)
        self._unreachable &= {disk.address for disk in in_use}

    def is_reachable(self) -> bool:
        """Tells whether enough disks to write and read have answered when last asked."""
        view = self.view
        if view is None:
            return False
        folders = [d.folder for d in disks(view) if d.address not in self._unreachable]
        return is_written(view, folders) and is_read(view, folders)

    def is_in_use(self, address: str) -> bool:
        """Tells whether a disk in use has an address."""
        return self.view is not None and any(d.address == address for d in disks(self.view))

    async def probe_forever(self) -> None:
        """Asks disks that did not answer again and again, so that no request has to find out."""
        while True:
            await asyncio.sleep(PROBE_PERIOD_S)
            view = self.view
            if view is None:
                continue
            lost = [d for d in disks(view) if d.address in self._unreachable]
            cut = [d for d in disks(view) if self.links.is_relayed(d)]
            await asyncio.gather(
                *(self._probe(view, disk, self.links.call_direct) for disk in (*lost, *cut)),
                *(self._probe(view, disk, self.links.call_over) for disk in lost),
            )

    async def _probe(self, view: View, disk: Disk, call: Call) -> None:
        message = messages.Fetch(view.epoch, "", [])
        found = await call(disk, messages.FETCH, message, messages.Fetched, RPC_TIMEOUT_S)
        if isinstance(found, Success):
            self.adopt(found.unwrap().newer)
            if found.unwrap().folder == disk.folder:
                self._regain(disk)

    async def ask(self, question: Question[_R], timeout_s: float) -> Result[list[_R], Failure]:
        """Returns the answers of enough disks."""
        deadline_s = time.monotonic() + timeout_s
        while (view := self.view) is not None:
            outcome = await self._ask(view, question, deadline_s)
            if not isinstance(outcome, View):
                return outcome
            self.adopt(outcome)
        detail = "the disks in use are not known"
        return Err(Failure(Code.UNREACHABLE, question.method, "", detail, not_run=True))

    async def _ask(
        self, view: View, question: Question[_R], deadline_s: float
    ) -> Result[list[_R], Failure] | View:
        answers: dict[str, _R] = {}
        ways = self._ways(view)
        asked: dict[asyncio.Task[Result[_R, Failure]], Disk] = {}
        while not question.enough(view, answers):
            hoped = {*answers, *(disk.folder for disk in asked.values())}
            while ways and not question.enough(view, hoped):
                hoped.add(ways[0].disk.folder)
                self._send(asked, ways.pop(0), view, question, deadline_s)
            left_s = deadline_s - time.monotonic()
            if not asked or left_s <= 0:
                break
            done, _ = await asyncio.wait(
                asked,
                timeout=min(left_s, self._hedge_s(asked.values())),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                self._suspect(asked.values(), "no answer in the usual time")
                way = next((way for way in ways if self._is_worth_trying(way)), None)
                if way is not None:
                    ways.remove(way)
                    self._send(asked, way, view, question, deadline_s)
            for task in done:
                disk = asked.pop(task)
                reply = self._take(disk, task.result())
                if reply is None:
                    continue
                if reply.newer is not None:
                    return reply.newer
                if question.suffices(reply):
                    return Success([reply])
                answers[disk.folder] = reply
                ways = [way for way in ways if way.disk.folder not in answers]
        else:
            return Success(list(answers.values()))
        hosts = [disk.host for disk in disks(view) if disk.folder not in answers]
        detail = f"no answer of {', '.join(hosts)} at epoch {view.epoch}"
        return Err(Failure(Code.UNREACHABLE, question.method, hosts[0] if hosts else "", detail))

    def _send(
        self,
        asked: dict[asyncio.Task[Result[_R, Failure]], Disk],
        way: Way,
        view: View,
        question: Question[_R],
        deadline_s: float,
    ) -> None:
        timeout_s = min(RPC_TIMEOUT_S, max(0.0, deadline_s - time.monotonic()))
        message = question.message(view)
        task: asyncio.Task[Result[_R, Failure]] = asyncio.create_task(
            way.call(way.disk, question.method, message, question.answer, timeout_s)
        )
        # An answer that is no longer needed still has to arrive, so the task is kept.
        self._late.add(task)
        task.add_done_callback(self._late.discard)
        asked[task] = way.disk

    def _take(self, disk: Disk, result: Result[_R, Failure]) -> _R | None:
        if not isinstance(result, Success):
            self._suspect([disk], str(result.failure()))
            if not self.links.is_relayed(disk):
                self._unreachable.add(disk.address)
            return None
        reply = result.unwrap()
        if reply.newer is None and reply.folder != disk.folder:
            self._suspect([disk], "it has come back without its data")
            self._unreachable.add(disk.address)
            return None
        self._heard_s[disk.address] = time.monotonic()
        self._regain(disk)
        return reply

    def _regain(self, disk: Disk) -> None:
        self._unreachable.discard(disk.address)
        if self._suspects.pop(disk.address, None) is not None:
            logs.logger("turns").info("disk_regained", peer=disk.host)

    def _ways(self, view: View) -> list[Way]:
        """Returns each disk in the order to ask, and then again by way of another process."""
        ranked = self._ranked(view)
        ways = [Way(disk, self.links.call, False) for disk in ranked]
        if self.links.has_relays():
            ways += [Way(disk, self.links.call_over, True) for disk in ranked]
        return ways

    def _is_worth_trying(self, way: Way) -> bool:
        """Tells whether a question that is late may be repeated on a way.

        A disk that is heard from is slow, or its link is full, and another way would not help.
        """
        heard_s = self._heard_s.get(way.disk.address, 0.0)
        return not way.is_over or time.monotonic() - heard_s > CUT_AFTER_S

    def _ranked(self, view: View) -> list[Disk]:
        now_s = time.monotonic()

        def rank(disk: Disk) -> tuple[bool, bool, bool]:
            return (
                self._suspects.get(disk.address, 0.0) > now_s,
                disk.region != self._here.region,
                disk.failure_domain != self._here.failure_domain,
            )

        return sorted(disks(view), key=rank)

    def _hedge_s(self, asked: Collection[Disk]) -> float:
        far = any(disk.region != self._here.region for disk in asked)
        return HEDGE_FAR_S if far else HEDGE_NEAR_S

    def _suspect(self, late: Collection[Disk], reason: str) -> None:
        until_s = time.monotonic() + SUSPECT_S
        for disk in late:
            if disk.address not in self._suspects:
                logs.logger("turns").warning("disk_suspected", peer=disk.host, reason=reason)
            self._suspects[disk.address] = until_s
