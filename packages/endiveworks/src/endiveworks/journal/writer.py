"""The thread that writes requests to the segments, one sync for all that wait."""

import os
import queue
import threading
from collections.abc import Iterator
from concurrent.futures import Future

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from . import segments
from .batch import Batch, Job, size_of
from .compaction import Shared, live_frames, remove, segment_to_free
from .copy_state import Head, Request, advance, decide
from .frames import Frame, Kind, decode, pack_head
from .segments import Files

SEGMENT_BYTES = 64 * 1024 * 1024
MAX_BATCH_BYTES = 4 * 1024 * 1024
COMPACTION_STEP_BYTES = 1024 * 1024

_STEP = "journal.write"


_GONE = Head(0, 0, 1, 0)


class Writer:
    """State of the writing thread: its queue, the current segment and whether it still works."""

    def __init__(self, shared: Shared, files: Files, segment_bytes: int) -> None:
        self._shared = shared
        self._files = files
        self._segment_bytes = segment_bytes
        self._jobs: queue.SimpleQueue[Job | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="journal-writer", daemon=True)
        self._segment = max(shared.handles, default=0)
        self._end = 0
        self._broken: Failure | None = None
        self._stopped = False
        self._moving: Iterator[Frame] | None = None
        self._can_compact = True
        self._submit_lock = threading.Lock()

    def start(self) -> None:
        """Begins a new segment and starts the thread; raises OSError."""
        self._rotate()
        self._thread.start()

    def submit(self, req: Request) -> "Future[Result[Head, Failure]]":
        """Queues a request."""
        fut: Future[Result[Head, Failure]] = Future()
        with self._submit_lock:
            if not self._stopped:
                self._jobs.put(Job(req, fut))
                return fut
        fut.set_result(Err(self._failure("the journal is closed", not_run=True)))
        return fut

    def stop(self) -> None:
        """Finishes the queued requests and ends the thread."""
        with self._submit_lock:
            if not self._stopped:
                self._stopped = True
                self._jobs.put(None)
        self._thread.join()

    def _run(self) -> None:
        while True:
            jobs, ended = self._take()
            if jobs:
                self._commit(jobs)
                self._compact_if_due()
            if ended:
                return

    def _take(self) -> tuple[list[Job], bool]:
        jobs: list[Job] = []
        size = 0
        job = self._jobs.get()
        while job is not None:
            jobs.append(job)
            size += size_of(job.req)
            if size >= MAX_BATCH_BYTES:
                return jobs, False
            try:
                job = self._jobs.get_nowait()
            except queue.Empty:
                return jobs, False
        return jobs, True

    def _commit(self, jobs: list[Job]) -> None:
        batch = Batch(self._segment, self._end)
        for job in jobs:
            batch.outcomes.append((job, self._prepare(batch, job.req)))
        failure = self._write(batch) if batch.data else None
        for job, outcome in batch.outcomes:
            failed = failure is not None and isinstance(outcome, Success)
            job.fut.set_result(Err(failure) if failed and failure else outcome)
        if self._end >= self._segment_bytes and self._broken is None:
            self._rotate_if_possible()

    def _prepare(self, batch: Batch, req: Request) -> Result[Head, Failure]:
        if self._broken is not None:
            return Err(self._broken)
        head = batch.heads.get(req.partition, self._shared.catalog.head(req.partition))
        decided = decide(head, req, lambda index: self._held(batch, req.partition, index))
        if not isinstance(decided, Success):
            return Err(decided.failure())
        for frame in decided.unwrap():
            batch.add(frame)
            head = advance(head, frame)
        batch.heads[req.partition] = head
        return Success(head or _GONE)

    def _held(self, batch: Batch, partition: int, index: int) -> bytes:
        waiting = batch.records.get((partition, index))
        if waiting is not None:
            return waiting
        place = self._shared.catalog.find(partition, index)
        if place is None:
            return b""
        data = os.pread(self._shared.handles[place.segment], place.size, place.offset)
        found = decode(data)
        return found.frame.body if found else b""

    def _write(self, batch: Batch) -> Failure | None:
        handle = self._shared.handles[self._segment]
        try:
            segments.write_all(self._files, handle, self._end, bytes(batch.data))
        except segments.WriteError as exc:
            return self._undo(handle, exc)
        except OSError as exc:
            self._broken = self._failure(str(exc), not_run=False)
            return self._broken
        with self._shared.lock:
            for frame, place in batch.placed:
                self._shared.catalog.apply(frame, place)
        self._end += len(batch.data)
        return None

    def _undo(self, handle: int, cause: OSError) -> Failure:
        try:
            os.ftruncate(handle, self._end)
        except OSError as exc:
            self._broken = self._failure(str(exc), not_run=False)
            return self._broken
        return self._failure(str(cause), not_run=True)

    def _compact_if_due(self) -> None:
        if not self._can_compact or self._broken is not None:
            return
        try:
            number = segment_to_free(self._shared, self._segment, self._segment_bytes)
            if number is not None:
                self._compact(number)
        except OSError:
            self._moving = None  # Tried again after a later batch.

    def _compact(self, number: int) -> None:
        if self._moving is None:
            self._moving = live_frames(self._shared, number)
        batch = Batch(self._segment, self._end)
        for frame in self._moving:
            batch.add(frame)
            if len(batch.data) >= COMPACTION_STEP_BYTES:
                break
        if batch.data and self._write(batch) is not None:
            self._moving = None
        if self._shared.catalog.live_bytes.get(number, 0) == 0:
            self._moving = None
            remove(self._shared, number)
        elif not batch.data:
            # A record of the segment is damaged. The file stays, and reading reports the damage.
            self._can_compact = False

    def _rotate_if_possible(self) -> None:
        try:
            self._rotate()
        except OSError:
            return  # The current segment goes on growing until there is room for a new one.

    def _rotate(self) -> None:
        number = self._segment + 1
        batch = Batch(number, 0)
        for partition, copy in self._shared.catalog.copies.items():
            head = copy.head
            body = pack_head(head.generation, head.last_index)
            batch.add(Frame(Kind.HEAD, partition, head.epoch, head.first_index, body))
        handle = segments.create(self._shared.data_dir, number)
        try:
            segments.write_all(self._files, handle, 0, bytes(batch.data))
        except OSError:
            os.close(handle)
            segments.path_of(self._shared.data_dir, number).unlink()
            raise
        with self._shared.lock:
            self._shared.handles[number] = handle
        self._segment = number
        self._end = len(batch.data)

    def _failure(self, detail: str, not_run: bool) -> Failure:
        return Failure(Code.STORAGE, _STEP, str(self._shared.data_dir), detail, not_run)
