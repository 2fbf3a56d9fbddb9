"""Measures the journal: appends, bytes of a turn, recovery and takeover; JSON lines on stdout."""

import json
import multiprocessing
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

from endiveworks.journal.api import Log, OpenedLog
from endiveworks.journal.copy_state import Append, Reset, Seal
from endiveworks.journal.entries import encode_record as log_entry
from endiveworks.journal.peer import CopyId, Peer, local_peer
from endiveworks.journal.remote import handle_fetch, handle_request, remote_peer
from endiveworks.journal.replicated_log import open_replicated_log
from endiveworks.journal.replication import CopySet
from endiveworks.journal.store import Store, open_store
from endiveworks.links import server
from endiveworks.links.client import Peers
from endiveworks.members.member import Member
from endiveworks.ownership import placement, planner
from endiveworks.ownership.record import OwnerId, PartitionRecord
from endiveworks.programs.partition import start_actor
from endiveworks.programs.records import (
    CHAT,
    CallClaimed,
    CallEnded,
    CallStarted,
    Outcome,
    ProgramOpened,
    encode,
)
from endiveworks.wire.gen import Owner, ttypes
from returns.result import Success

DEPLOYMENT = "bench"
ORIGIN = ttypes.Origin("bench", 1, 0)
RUN_S = 3.0
WRITERS = 16
RECORD_BYTES = 1024
QUESTION_BYTES = 600
ANSWER_BYTES = 2000
RECOVERY_RECORDS = (1_000, 10_000, 100_000)
PLANNER_SIZES = ((3, 64), (420, 4096))
TAKEOVER_PROGRAMS = (1_000, 10_000, 100_000)
GENERATION = 1 << 20
NO_CHANGES = CopySet(
    lambda copies: Success(None),
    lambda present, avoided: None,
    lambda present: None,
    lambda failure: None,
)


class Rate(NamedTuple):
    """Appends a second and their latency in milliseconds."""

    per_s: float
    p50_ms: float
    p99_ms: float


class CopyService:
    """The copy side of a second host."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def append(self, origin: Any, folder: str, partition: int, epoch: int, first: int, data: Any):
        """Adds records to a copy."""
        return handle_request(self._store, folder, Append(partition, epoch, first, data))

    def seal(self, origin: Any, folder: str, partition: int, epoch: int):
        """Makes a copy refuse lower epochs."""
        return handle_request(self._store, folder, Seal(partition, epoch))

    def reset(self, origin: Any, folder: str, partition: int, epoch: int, gen: int, first: int):
        """Starts an empty copy."""
        return handle_request(self._store, folder, Reset(partition, epoch, gen, first))

    def fetch(self, origin: Any, folder: str, partition: int, first: int, max_bytes: int):
        """Reads records of a copy."""
        return handle_fetch(self._store, folder, partition, first, max_bytes)


def main() -> None:
    """Runs every measurement and prints a line for each figure."""
    with tempfile.TemporaryDirectory(dir=Path.cwd(), prefix=".bench-") as name:
        folder = Path(name)
        measure_appends(folder)
        measure_turn(folder)
        measure_recovery(folder)
        measure_takeover(folder)
    measure_planner()


def measure_appends(folder: Path) -> None:
    """Compares no journal, one copy and two copies, the second in another process."""
    with copies_in(folder / "appends") as peers:
        logs = {
            "none": Log(lambda records: _done(), lambda: None, lambda kept: _done(), lambda: False),
            "one copy": _open(peers[:1], 1),
            "two copies": _open(peers, 2),
        }
        for writers in (1, WRITERS):
            rates = {name: rate_of(log, writers) for name, log in logs.items()}
            base = rates["none"]
            for name, rate in rates.items():
                report(
                    f"appends with {writers} writers, {name}",
                    rate._asdict(),
                    "none",
                    rate.per_s / base.per_s,
                    added_p50_ms=rate.p50_ms - base.p50_ms,
                    added_p99_ms=rate.p99_ms - base.p99_ms,
                )


def measure_turn(folder: Path) -> None:
    """Measures the bytes that one chat turn writes to a copy and sends to it."""
    store = open_store(folder / "turn", DEPLOYMENT).unwrap()
    log = _open([local_peer("a", store)], 1)
    turns = 1000
    before = store.used_bytes()
    records = [encode(item) for item in turn("p", 1)]
    for _ in range(turns):
        fut = log.append(records)
    fut.result()
    written = (store.used_bytes() - before) / turns
    payload = QUESTION_BYTES + ANSWER_BYTES
    sent = sum(len(log_entry(data)) for data in records)
    report("bytes written by a turn on each copy", written, "its text", written / payload)
    report("bytes sent by a turn to each remote copy", sent, "its text", sent / payload)
    store.close()


def measure_recovery(folder: Path) -> None:
    """Measures how long a host takes to open its data folder again."""
    base = 0.0
    for count in RECOVERY_RECORDS:
        data_dir = folder / f"recovery-{count}"
        store = open_store(data_dir, DEPLOYMENT).unwrap()
        log = _open([local_peer("a", store)], 1)
        fill(log, [b"x" * RECORD_BYTES] * count)
        store.close()
        began = time.perf_counter()
        store = open_store(data_dir, DEPLOYMENT).unwrap()
        seconds = time.perf_counter() - began
        store.close()
        base = base or seconds
        name = f"seconds to open a folder of {count} records"
        report(name, seconds, f"{RECOVERY_RECORDS[0]} records", seconds / base)


def measure_takeover(folder: Path) -> None:
    """Measures sealing, reading and applying the log of a partition by a new owner."""
    base = 0.0
    for count in TAKEOVER_PROGRAMS:
        with copies_in(folder / f"takeover-{count}") as peers:
            log = _open(peers, 1)
            fill(log, _programs(count))
            seconds, reopened = _take_over(peers, 2)
            base = base or seconds
            name = f"seconds to take over {count} programs by their records"
            report(name, seconds, f"{TAKEOVER_PROGRAMS[0]} programs", seconds / base)


def measure_planner() -> None:
    """Measures one look at the table by one of many hosts, when nothing is to be done."""
    base = 0.0
    for hosts, partitions in PLANNER_SIZES:
        now = _settled(hosts, partitions)
        rounds = 20
        began = time.perf_counter()
        for _ in range(rounds):
            planner.plan(now)
        milliseconds = (time.perf_counter() - began) / rounds * 1000
        base = base or milliseconds
        name = f"ms to look at {partitions} partitions among {hosts} hosts"
        report(name, milliseconds, f"{PLANNER_SIZES[0][1]} partitions", milliseconds / base)


def _settled(hosts: int, partitions: int) -> planner.PlannerInputs:
    members = {
        f"h{number}": Member(f"h{number}", "", "entry", "", "r", "d", number, folder="f")
        for number in range(hosts)
    }
    records = {}
    for partition in range(partitions):
        owner = placement.rank_owners(partition, members.values())[0]
        ident = OwnerId(owner.host, owner.incarnation)
        records[partition] = PartitionRecord(partition, ident, 1, (CopyId("h1", "f"),), 1)
    held = {number: 1 for number, record in records.items() if record.owner.host == "h0"}
    return planner.PlannerInputs(
        members["h0"], members, records, partitions, held, held, {}, {}, is_placement_due=False
    )


def _take_over(peers: list[Peer], epoch: int) -> tuple[float, OpenedLog]:
    began = time.perf_counter()
    opened = open_replicated_log(1, epoch, peers, NO_CHANGES).unwrap().opened
    actor = start_actor(1, epoch, opened).unwrap()
    seconds = time.perf_counter() - began
    actor.stop()
    return seconds, opened


def turn(program: str, number: int) -> tuple[Any, ...]:
    """Returns the records of one chat call."""
    question = b"q" * QUESTION_BYTES
    answer = b"a" * ANSWER_BYTES
    digest = "d" * 16
    key = f"key-{number}"
    started = CallStarted(program, number, "assistant", CHAT, key, digest, 900, False, question)
    claimed = CallClaimed(program, number, number, "upstream-1", 1 << 60, 0, False)
    ended = CallEnded(
        program, number, Outcome.DONE, 200, "text/event-stream", answer, 700, 200, 500, 0, "u", 1.0
    )
    return started, claimed, ended


def _programs(count: int) -> Iterator[bytes]:
    """Yields records of programs with one ended call of a plain service each."""
    for number in range(count):
        program = f"0001-{number:024x}"
        yield encode(ProgramOpened(program, "signs", "front", "", 100_000, f"k{number}", 1.0))
        yield encode(CallStarted(program, 1, "shop", "lookup", "", "d" * 16, 0, False, b"{}" * 50))
        yield encode(
            CallEnded(
                program, 1, Outcome.DONE, 200, "application/json", b"{}" * 50, 0, 0, 0, 0, "u", 1.0
            )
        )


def fill(log: Log, records: Any) -> None:
    """Appends many records and waits until all are stored."""
    batch: list[bytes] = []
    fut = log.append([])
    for data in records:
        batch.append(data)
        if len(batch) == 200:
            fut = log.append(batch)
            batch = []
    if batch:
        fut = log.append(batch)
    fut.result().unwrap()


def rate_of(log: Log, writers: int) -> Rate:
    """Measures appends by writers that each wait for their own."""
    data = [b"x" * RECORD_BYTES]
    stop = threading.Event()

    def write() -> list[float]:
        times = []
        while not stop.is_set():
            began = time.perf_counter()
            log.append(data).result().unwrap()
            times.append(time.perf_counter() - began)
        return times

    with ThreadPoolExecutor(writers) as pool:
        began = time.perf_counter()
        running = [pool.submit(write) for _ in range(writers)]
        time.sleep(RUN_S)
        stop.set()
        times = sorted(one for fut in running for one in fut.result())
        seconds = time.perf_counter() - began
    p50, p99 = times[len(times) // 2], times[len(times) * 99 // 100]
    return Rate(len(times) / seconds, p50 * 1000, p99 * 1000)


@contextmanager
def copies_in(folder: Path) -> Iterator[list[Peer]]:
    """Yields a copy in this process and one in another, reached over TCP."""
    ours, theirs = multiprocessing.get_context("spawn").Pipe()
    serve: Callable[..., None] = serve_copies
    process = multiprocessing.get_context("spawn").Process(
        target=serve, args=(str(folder / "b"), theirs), daemon=True
    )
    process.start()
    address, folder_id = ours.recv()
    store = open_store(folder / "a", DEPLOYMENT).unwrap()
    pool = ThreadPoolExecutor(4)
    peers = Peers(Owner.Client)
    copy = CopyId("b", folder_id)
    yield [local_peer("a", store), remote_peer(copy, lambda: address, peers, lambda: ORIGIN, pool)]
    store.close()
    process.kill()
    process.join()
    pool.shutdown()


def serve_copies(folder: str, pipe: Any) -> None:
    """Runs the second host until it is killed."""
    store = open_store(Path(folder), DEPLOYMENT).unwrap()
    processor = Owner.Processor(CopyService(store))
    pipe.send((server.serve(processor, "127.0.0.1:0", 16).address, store.folder))
    threading.Event().wait()


def report(name: str, value: Any, baseline: str, ratio: float, **more: float) -> None:
    """Prints one figure."""
    line = {"figure": name, "value": value, "baseline": baseline, "ratio": ratio, **more}
    print(json.dumps(line, default=str), flush=True)


def _open(peers: list[Peer], partition: int) -> Log:
    for peer in peers:
        peer.send(Reset(partition, 1, GENERATION, 1)).result().unwrap()
    return open_replicated_log(partition, 1, peers, NO_CHANGES).unwrap().opened.log


def _done() -> "Future[Any]":
    fut: Future[Any] = Future()
    fut.set_result(Success(1))
    return fut


if __name__ == "__main__":
    sys.exit(main())
