"""The thread that writes requests to the segments, with group commit."""

import os
import queue
import threading
from collections.abc import Iterator
from concurrent.futures import Future

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from . import segments
from .batch import Batch, PendingRequest, record_bytes
from .compaction import SharedState, live_frames, remove, segment_to_compact
from .copy_state import CopyState, Request, apply_frame, plan_frames
from .frames import Frame, Kind, decode, pack_state
from .segments import WriteCalls

SEGMENT_BYTES = 64 * 1024 * 1024
MAX_BATCH_BYTES = 4 * 1024 * 1024
COMPACTION_STEP_BYTES = 1024 * 1024

_STEP = "journal.write"

# Reported as the state after a Drop.
_NO_COPY = CopyState(0, 0, 1, 0)


class Writer:
    """State of the writer thread: its queue, the current segment, and a fatal failure if any."""

    def __init__(self, shared: SharedState, write_calls: WriteCalls, segment_bytes: int) -> None:
        self._shared = shared
        self._write_calls = write_calls
        self._segment_bytes = segment_bytes
        self._queue: queue.SimpleQueue[PendingRequest | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="journal-writer", daemon=True)
        self._segment = max(shared.fds, default=0)
        self._end_offset = 0
        self._fatal_failure: Failure | None = None
        self._stopped = False
        self._frames_to_copy: Iterator[Frame] | None = None
        self._can_compact = True
        self._submit_lock = threading.Lock()

    def start(self) -> None:
        """Starts a new segment and the thread; raises OSError."""
        self._rotate()
        self._thread.start()

    def submit(self, req: Request) -> "Future[Result[CopyState, Failure]]":
        """Queues a request; the future receives its outcome."""
        fut: Future[Result[CopyState, Failure]] = Future()
        with self._submit_lock:
            if not self._stopped:
                self._queue.put(PendingRequest(req, fut))
                return fut
        fut.set_result(Err(self._failure("the journal is closed", not_run=True)))
        return fut

    def stop(self) -> None:
        """Completes the queued requests and ends the thread."""
        with self._submit_lock:
            if not self._stopped:
                self._stopped = True
                self._queue.put(None)
        self._thread.join()

    def _run(self) -> None:
        while True:
            requests, stopping = self._next_requests()
            if requests:
                self._commit(requests)
                requests.clear()  # The records would stay in memory until the next request.
                self._compact_if_due()
            if stopping:
                return

    def _next_requests(self) -> tuple[list[PendingRequest], bool]:
        requests: list[PendingRequest] = []
        size = 0
        pending = self._queue.get()
        while pending is not None:
            requests.append(pending)
            size += record_bytes(pending.req)
            if size >= MAX_BATCH_BYTES:
                return requests, False
            try:
                pending = self._queue.get_nowait()
            except queue.Empty:
                return requests, False
        return requests, True

    def _commit(self, requests: list[PendingRequest]) -> None:
        batch = Batch(self._segment, self._end_offset)
        for pending in requests:
            batch.outcomes.append((pending, self._prepare(batch, pending.req)))
        failure = self._write(batch) if batch.data else None
        for pending, outcome in batch.outcomes:
            failed = failure is not None and isinstance(outcome, Success)
            pending.fut.set_result(Err(failure) if failed and failure else outcome)
        if self._end_offset >= self._segment_bytes and self._fatal_failure is None:
            self._rotate_if_possible()

    def _prepare(self, batch: Batch, req: Request) -> Result[CopyState, Failure]:
        if self._fatal_failure is not None:
            return Err(self._fatal_failure)
        state = batch.states.get(req.partition, self._shared.record_index.state(req.partition))
        decided = plan_frames(
            state, req, lambda index: self._read_record(batch, req.partition, index)
        )
        if not isinstance(decided, Success):
            return Err(decided.failure())
        for frame in decided.unwrap():
            batch.add(frame)
            state = apply_frame(state, frame)
        batch.states[req.partition] = state
        return Success(state or _NO_COPY)

    def _read_record(self, batch: Batch, partition: int, index: int) -> bytes:
        uncommitted = batch.records.get((partition, index))
        if uncommitted is not None:
            return uncommitted
        location = self._shared.record_index.find(partition, index)
        if location is None:
            return b""
        data = os.pread(self._shared.fds[location.segment], location.size, location.offset)
        found = decode(data)
        return found.frame.body if found else b""

    def _write(self, batch: Batch) -> Failure | None:
        fd = self._shared.fds[self._segment]
        try:
            segments.write_all(self._write_calls, fd, self._end_offset, batch.data)
        except segments.WriteError as exc:
            return self._roll_back(fd, exc)
        except OSError as exc:
            self._fatal_failure = self._failure(str(exc), not_run=False)
            return self._fatal_failure
        with self._shared.lock:
            for frame, location in batch.frames:
                self._shared.record_index.apply(frame, location)
        self._end_offset += len(batch.data)
        return None

    def _roll_back(self, fd: int, cause: OSError) -> Failure:
        try:
            os.ftruncate(fd, self._end_offset)
        except OSError as exc:
            self._fatal_failure = self._failure(str(exc), not_run=False)
            return self._fatal_failure
        return self._failure(str(cause), not_run=True)

    def _compact_if_due(self) -> None:
        if not self._can_compact or self._fatal_failure is not None:
            return
        try:
            number = segment_to_compact(self._shared, self._segment, self._segment_bytes)
            if number is not None:
                self._compact(number)
        except OSError:
            self._frames_to_copy = None  # Retried after a later batch.

    def _compact(self, number: int) -> None:
        if self._frames_to_copy is None:
            self._frames_to_copy = live_frames(self._shared, number)
        batch = Batch(self._segment, self._end_offset)
        for frame in self._frames_to_copy:
            batch.add(frame)
            if len(batch.data) >= COMPACTION_STEP_BYTES:
                break
        if batch.data and self._write(batch) is not None:
            self._frames_to_copy = None
        if self._shared.record_index.live_bytes.get(number, 0) == 0:
            self._frames_to_copy = None
            remove(self._shared, number)
        elif not batch.data:
            # A record of the segment is damaged. Keep the file, so that reads report the damage.
            self._can_compact = False

    def _rotate_if_possible(self) -> None:
        try:
            self._rotate()
        except OSError:
            return  # Keep appending to the current segment until a new one can be created.

    def _rotate(self) -> None:
        number = self._segment + 1
        batch = Batch(number, 0)
        for partition, copy in self._shared.record_index.copies.items():
            state = copy.state
            body = pack_state(state.generation, state.last_index)
            batch.add(Frame(Kind.STATE, partition, state.epoch, state.first_index, body))
        fd = segments.create_segment(self._shared.data_dir, number)
        try:
            segments.write_all(self._write_calls, fd, 0, batch.data)
        except OSError:
            os.close(fd)
            segments.segment_path(self._shared.data_dir, number).unlink()
            raise
        with self._shared.lock:
            self._shared.fds[number] = fd
        self._segment = number
        self._end_offset = len(batch.data)

    def _failure(self, detail: str, not_run: bool) -> Failure:
        return Failure(Code.STORAGE, _STEP, str(self._shared.data_dir), detail, not_run)
