"""Access to where streams began: this entry's own are told, those of all are asked for.

Both are datagrams to the memory of disk processes: nothing is written, and a process that is gone
holds up nobody.
"""

import asyncio
import time
from collections.abc import Callable, Mapping

from endiveworks.gateway.cluster_state import ClusterState
from endiveworks.gateway.service_versions import ServiceVersions
from endiveworks.gateway.stream_origins import (
    HolderReply,
    StreamOrigin,
    StreamStart,
    Verdict,
    decide,
    stream_key,
)
from endiveworks.members.member import Member
from endiveworks.telemetry import logs
from endiveworks.turns.view import Disk, View, all_disks

from ..origin_datagrams import (
    ANSWER,
    ASK,
    TOLD,
    Address,
    Datagram,
    decode,
    decode_relayed,
    listen,
)
from .origin_paths import OriginPaths, OriginRelay
from .origin_telling import RESEND_S, OriginTelling, wait_for_event
from .relays import relay_addresses

# Time after which a question whose replies don't suffice is given up; processes that have just
# started and have all callers at once reply late.
QUERY_TIMEOUT_S = 0.5
# An entry that hears of changes knows at least this often that its list is complete.
MAX_LIST_AGE_S = 2.0


class _Question:
    """A question under way.

    Attributes:
        key: Key of the request.
        attempt: Name of the attempt that the caller resumes; empty if it names none.
        window_s: Longest age of the start that is resumed.
        known: Starts at this entry.
        replies: Replies by folder.
        changed: Set by each reply.
    """

    def __init__(self, key: bytes, attempt: str, window_s: float, known: list[StreamStart]) -> None:
        self.key = key
        self.attempt = attempt
        self.window_s = window_s
        self.known = known
        self.replies: dict[str, HolderReply] = {}
        self.changed = asyncio.Event()

    def verdict(self, view: View) -> Verdict:
        """Returns what follows from the replies; final if none is missing."""
        found = decide(view, self.replies, self.known, self.attempt, self.window_s)
        is_answered = all(disk.folder in self.replies for disk in all_disks(view))
        return found._replace(is_final=found.is_final or is_answered)


class OriginExchange(asyncio.DatagramProtocol):
    """Origins of the streams of this entry, and access to those of others.

    Args:
        host: Name of this process.
        list_age_s: Returns the time since the list of replicas was known to be complete; None if it
            never was.

    Attributes:
        host: The same.
    """

    def __init__(self, host: str, list_age_s: Callable[[], float | None] = lambda: 0.0) -> None:
        self.host = host
        self._list_age_s = list_age_s
        self._view: View | None = None
        self._members: Mapping[str, Member] = {}
        self._versions = ServiceVersions(time.monotonic())
        self._paths = OriginPaths(self._send_to)
        self._relay = OriginRelay(self._send_to)
        self._was_stalled = False
        # Looked up at each call, so that a test can replace it.
        self._telling = OriginTelling(lambda *args: self._send(*args), lambda: self._view)
        self._questions: dict[int, _Question] = {}
        self._last_number = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str) -> None:
        """Receives datagrams at "ip:port"; raises OSError if the address can't be bound."""
        self._transport = await listen(self, address)

    def close(self) -> None:
        """Sends and receives no more datagrams."""
        self._telling.close()
        if self._transport is not None:
            self._transport.close()

    def apply_state(self, state: ClusterState) -> None:
        """Takes over the disks in use, the processes and the replicas."""
        if state.view is not None:
            self.adopt_view(state.view)
        if state.members is not self._members:
            self._members = state.members
            own = self._members.get(self.host)
            region = own.region if own else ""
            relays = relay_addresses(self._members.values(), self.host, region)
            self._paths.set_relays(region, relays)
        self._versions.update(state.replicas.values(), time.monotonic())

    def adopt_view(self, view: View) -> None:
        """Takes over the disks in use, unless newer ones are known."""
        if self._view is not None and view.epoch <= self._view.epoch:
            return
        self._view = view
        self._paths.retain_only(all_disks(view))
        self._telling.on_view()

    def address(self, host: str) -> str:
        """Returns the address of a process as "ip:port"; empty if it is not known."""
        return self._members[host].address if host in self._members else ""

    def tell(
        self, attempt: str, digest: str, origin: StreamOrigin | None, has_events: bool = False
    ) -> None:
        """Tells where the events of an attempt come from.

        Args:
            attempt: Name of the attempt.
            digest: Hash of the request's path and body.
            origin: The origin; None if the attempt ended without an event.
            has_events: Whether an event was sent to the caller.
        """
        self._telling.tell(attempt, stream_key(digest), origin, has_events)

    def may_be_mistaken(self, service: str, window_s: float) -> bool:
        """Returns whether a stream of the service may be taken for one of another version."""
        return self._versions.may_differ(service, window_s, time.monotonic())

    def is_only_version(self, service: str, window_s: float, since_arrival_s: float) -> bool:
        """Returns whether a service is known to have had one version up to a request's arrival.

        Args:
            service: The service.
            window_s: Time before, within which another version matters.
            since_arrival_s: Time since the request arrived.
        """
        age_s = self._list_age_s()
        if age_s is None or age_s > since_arrival_s:
            return False
        return not self.may_be_mistaken(service, window_s)

    def may_begin(self, service: str, window_s: float) -> bool:
        """Returns whether the first event of a stream that begins now is expected to be sent soon.

        Args:
            service: The service.
            window_s: Time before, within which another version matters.
        """
        is_stalled = self._telling.is_stalled()
        if is_stalled is not self._was_stalled:
            self._was_stalled = is_stalled
            event = "origins_stalled" if is_stalled else "origins_confirmed"
            logs.logger("gateway").warning(event, age_ms=self._list_age_ms())
        if not is_stalled:
            return True
        age_s = self._list_age_s()
        is_listed = age_s is not None and age_s <= MAX_LIST_AGE_S
        return is_listed and not self.may_be_mistaken(service, window_s)

    def may_serve(self, origin: StreamOrigin) -> bool:
        """Returns whether the software of an origin serves, or may soon."""
        return self._versions.may_serve(origin.service, origin.version, time.monotonic())

    async def wait_until_held(self, attempt: str, timeout_s: float | None = None) -> bool:
        """Waits until a write quorum of the disks knows what was told last of an attempt.

        Returns:
            Whether it does within the time.
        """
        return await self._telling.wait_until_held(attempt, timeout_s)

    async def find(self, attempt: str, digest: str, window_s: float) -> StreamOrigin | None:
        """Returns where a stream began; None if it is not known for certain.

        Args:
            attempt: Name of the attempt that the caller resumes; empty if it names none.
            digest: Hash of the request's path and body.
            window_s: Longest age of the start that is resumed.
        """
        key = stream_key(digest)
        own = self._telling.own(attempt, key)
        if own is not None:
            return own.origin  # No other process tells of this attempt.
        question = _Question(key, attempt, window_s, self._telling.known(key))
        self._last_number += 1
        number = self._last_number
        self._questions[number] = question
        try:
            verdict = await self._ask(number, question)
        finally:
            del self._questions[number]
        if verdict.origin is None:
            logs.logger("gateway").info(
                "origin_unknown",
                began_as=attempt,
                digest=digest,
                amount=len(question.replies),
                reason="no single origin among the replies",
            )
        return verdict.origin

    async def _ask(self, number: int, question: _Question) -> Verdict:
        end_s = time.monotonic() + QUERY_TIMEOUT_S
        verdict = Verdict(None, False)
        while (left_s := end_s - time.monotonic()) > 0 and (view := self._view) is not None:
            for disk in all_disks(view):
                if disk.folder not in question.replies:
                    self._send(Datagram(ASK, number, view.epoch, question.key), disk)
            resend_s = time.monotonic() + min(RESEND_S, left_s)
            while (wait_s := resend_s - time.monotonic()) > 0:
                if not await wait_for_event(question.changed, wait_s):
                    break
                question.changed.clear()
                verdict = question.verdict(view)
                if verdict.is_final:
                    return verdict
        return verdict

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handles a datagram of a disk process, or one of an entry that doesn't reach it."""
        relayed = decode_relayed(data)
        disk = self._disk_at(relayed.address) if relayed else None
        datagram = decode(relayed.data if relayed else data)
        if datagram is None:
            return
        if relayed is not None:
            if disk is not None:
                self._relay.forward(datagram, disk, addr)
            return
        if datagram.kind not in (TOLD, ANSWER) or self._relay.return_reply(datagram):
            return
        self._record_path(datagram, addr)
        if datagram.kind == TOLD:
            self._telling.accept(datagram)
        elif datagram.number in self._questions:
            question = self._questions[datagram.number]
            # A process that knows of a newer view is one whose quorums are not known here.
            is_current = self._view is not None and datagram.epoch <= self._view.epoch
            held_s = datagram.held_s if is_current else 0.0
            reply = HolderReply(datagram.starts, held_s, datagram.is_partial)
            question.replies[datagram.folder] = reply
            question.changed.set()

    def _record_path(self, datagram: Datagram, addr: Address) -> None:
        for disk in all_disks(self._view) if self._view else ():
            if disk.folder == datagram.folder:
                self._paths.record_reply(disk, addr)

    def _disk_at(self, address: str) -> Disk | None:
        """Returns the disk in use at an address; datagrams are passed on to no other address."""
        disks = all_disks(self._view) if self._view else ()
        return next((disk for disk in disks if disk.address == address), None)

    def _list_age_ms(self) -> float:
        """Returns the age of the list of replicas, in milliseconds; -1 if it is unknown."""
        age_s = self._list_age_s()
        return -1.0 if age_s is None else round(age_s * 1000, 1)

    def error_received(self, exc: Exception) -> None:
        """Ignores a process that isn't there; the other disks are told and asked as well."""
        logs.logger("gateway").debug("datagram_lost", exc_info=exc)

    def _send(self, datagram: Datagram, disk: Disk) -> None:
        is_awaited = datagram.kind == ASK or self._telling.is_awaited(datagram.number)
        self._paths.send(datagram, disk, is_awaited)

    def _send_to(self, data: bytes, address: Address) -> None:
        if self._transport is not None:
            self._transport.sendto(data, address)
