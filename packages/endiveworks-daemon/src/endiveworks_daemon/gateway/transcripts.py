"""Keeps the events that were sent of turns whose callers may resume them, for the stored turns.

A turn is stored when its stream ends. If its caller has resumed it meanwhile, perhaps at another
entry, the events of the first part are needed there.
"""

import contextlib
import time
from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import NamedTuple

import msgspec
from endiveworks.gateway.stream_origins import RETENTION_S
from returns.result import Success

from ..rpc import Handler, RpcClient
from .exchange import Exchange

TAKE_EVENTS = "streams.take"
TAKE_TIMEOUT_S = 0.3  # Several round trips between regions.
# Size of the events kept after their streams broke.
MAX_KEPT_BYTES = 8 * 1024 * 1024


class TakeEvents(NamedTuple):
    """Asks for the events up to the one after which a stream is resumed."""

    attempt: str
    last_event_id: int


class TakenEvents(NamedTuple):
    """The output of these events; None if they are not known."""

    output: bytes | None


class Transcript:
    """Events sent to a caller, in order.

    Attributes:
        output: Data of the events, as it is stored with the turn.
        taken: Whether the caller has resumed the stream in another request.
        on_taken: Called when it does, while a replica is sending the stream.
    """

    def __init__(self, output: bytes = b"") -> None:
        self.output = bytearray(output)
        self.taken = False
        self.on_taken: Callable[[], None] | None = None
        self._ends: dict[int, int] = {}

    def add(self, event_id: int | None, data: bytes) -> None:
        """Appends an event."""
        self.output += data + b"\n"
        if event_id is not None:
            self._ends[event_id] = len(self.output)

    def truncate(self, last_event_id: int) -> bool:
        """Drops the events after one; returns False if that one is not among them."""
        end = self._ends.get(last_event_id)
        if end is None:
            return False
        del self.output[end:]
        self._ends = {event_id: at for event_id, at in self._ends.items() if at <= end}
        return True


class _Kept(NamedTuple):
    transcript: Transcript
    at_s: float


class Transcripts:
    """Transcripts of the streams of this process, by the attempt that began them.

    Args:
        host: Name of this process.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._active: dict[str, Transcript] = {}
        self._kept: OrderedDict[str, _Kept] = OrderedDict()
        self._kept_bytes = 0

    def kept_bytes(self) -> int:
        """Returns the size of the transcripts of broken streams."""
        return self._kept_bytes

    @contextlib.contextmanager
    def kept(self, ex: Exchange, output: bytes) -> Iterator[Transcript]:
        """Returns the transcript of a new stream; keeps it for a while if the stream breaks.

        Args:
            ex: The request.
            output: Output of the events that the caller has from earlier attempts.
        """
        transcript = Transcript(output)
        if not (ex.route.resumable and ex.route.retains_turns):
            yield transcript
            return
        attempt = ex.scoped(ex.request.id)
        self._active[attempt] = transcript
        try:
            yield transcript
        except BaseException:
            self._keep(attempt, transcript)
            raise
        finally:
            self._active.pop(attempt, None)

    def _keep(self, attempt: str, transcript: Transcript) -> None:
        if not transcript.output:
            return
        self._drop(attempt)
        self._kept[attempt] = _Kept(transcript, time.monotonic())
        self._kept_bytes += len(transcript.output)
        while self._kept and (
            self._kept_bytes > MAX_KEPT_BYTES or self._oldest_age_s() > RETENTION_S
        ):
            self._drop(next(iter(self._kept)))

    def take(self, attempt: str, last_event_id: int) -> bytes | None:
        """Returns the output up to an event, for an attempt that resumes the stream after it.

        Later events did not reach the caller, or are replaced by those of the other attempt, so
        they are dropped, and the stream ends if it is still being sent.
        """
        kept = self._kept.get(attempt)
        transcript = kept.transcript if kept else self._active.get(attempt)
        if transcript is None:
            return None
        transcript.taken = True
        if transcript.on_taken is not None:
            transcript.on_taken()
        size = len(transcript.output)
        is_known = transcript.truncate(last_event_id)
        if kept:
            self._kept_bytes -= size - len(transcript.output)
        return bytes(transcript.output) if is_known else None

    def handlers(self) -> dict[str, Handler]:
        """Returns the RPC handlers by method name."""

        async def take(message: memoryview) -> bytes:
            request = msgspec.msgpack.decode(message, type=TakeEvents)
            return msgspec.msgpack.encode(TakenEvents(self.take(*request)))

        return {TAKE_EVENTS: take}

    async def take_from(
        self, host: str, address: str, attempt: str, last_event_id: int
    ) -> bytes | None:
        """Returns the output up to an event from the process that sent it; None if it is lost.

        Args:
            host: Name of the process.
            address: Its address; empty if it is gone.
            attempt: Id of the attempt that began the stream.
            last_event_id: Id of the last event that the caller has.
        """
        if host == self._host:
            return self.take(attempt, last_event_id)
        if not address:
            return None
        client = RpcClient(address)
        try:
            request = TakeEvents(attempt, last_event_id)
            reply = await client.call(TAKE_EVENTS, request, TakenEvents, TAKE_TIMEOUT_S)
            return reply.unwrap().output if isinstance(reply, Success) else None
        finally:
            client.close()

    def _oldest_age_s(self) -> float:
        return time.monotonic() - next(iter(self._kept.values())).at_s

    def _drop(self, attempt: str) -> None:
        kept = self._kept.pop(attempt, None)
        if kept is not None:
            self._kept_bytes -= len(kept.transcript.output)
