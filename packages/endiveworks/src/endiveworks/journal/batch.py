"""Group commit: requests that are written together with one sync."""

from concurrent.futures import Future
from typing import NamedTuple

from returns.result import Result

from ..errors import Failure
from .copy_state import Append, CopyState, Request
from .frames import Frame, Kind, encode
from .index import FrameLocation


class PendingRequest(NamedTuple):
    """A request and the future that receives its outcome."""

    req: Request
    fut: "Future[Result[CopyState, Failure]]"


class Batch:
    """Frames to write at one offset, and the states of the copies once they are synced."""

    def __init__(self, segment: int, start: int) -> None:
        self.segment = segment
        self.start = start
        self.data = bytearray()
        self.frames: list[tuple[Frame, FrameLocation]] = []
        self.states: dict[int, CopyState | None] = {}
        self.records: dict[tuple[int, int], bytes] = {}
        self.outcomes: list[tuple[PendingRequest, Result[CopyState, Failure]]] = []

    def add(self, frame: Frame) -> None:
        """Encodes a frame and appends it to the batch."""
        encoded = encode(frame, self.start)
        location = FrameLocation(self.segment, self.start + len(self.data), len(encoded))
        self.data += encoded
        self.frames.append((frame, location))
        if frame.kind is Kind.RECORD:
            self.records[frame.partition, frame.log_index] = frame.body


def record_bytes(req: Request) -> int:
    """Returns the size of the records in a request, in bytes."""
    return sum(map(len, req.records)) if isinstance(req, Append) else 0
