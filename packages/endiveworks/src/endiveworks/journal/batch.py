"""Requests that are written together with one sync."""

from concurrent.futures import Future
from typing import NamedTuple

from returns.result import Result

from ..errors import Failure
from .copy_state import Append, Head, Request
from .frames import Frame, Kind, encode
from .index import Place


class Job(NamedTuple):
    """A request and the future that its outcome goes to."""

    req: Request
    fut: "Future[Result[Head, Failure]]"


class Batch:
    """The bytes to write, and the state of the copies once they are on disk."""

    def __init__(self, segment: int, start: int) -> None:
        self.segment = segment
        self.start = start
        self.data = bytearray()
        self.placed: list[tuple[Frame, Place]] = []
        self.heads: dict[int, Head | None] = {}
        self.records: dict[tuple[int, int], bytes] = {}
        self.outcomes: list[tuple[Job, Result[Head, Failure]]] = []

    def add(self, frame: Frame) -> None:
        """Adds a frame to the bytes to write."""
        encoded = encode(frame, self.start)
        place = Place(self.segment, self.start + len(self.data), len(encoded))
        self.data += encoded
        self.placed.append((frame, place))
        if frame.kind is Kind.RECORD:
            self.records[frame.partition, frame.position] = frame.body


def size_of(req: Request) -> int:
    """Returns the size of the records in a request, in bytes."""
    return sum(map(len, req.records)) if isinstance(req, Append) else 0
