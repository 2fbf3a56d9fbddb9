"""Measures what the control of a deployment costs as it grows, and how fast a publication spreads.

Run as `python bench/fleet.py`; prints one JSON line for each figure. Every node is a real process.
Bytes and messages are those of the open TCP connections, without headers; loopback only.
"""

import argparse
import json
import os
import re
import statistics
import subprocess
import tempfile
import time
from collections.abc import Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

import urllib3
from endiveworks.config.publish import PublishRequest, publish
from endiveworks.config.service_file import collect
from endiveworks.kvservice.etcd import connect
from endiveworks_standins.fleet import Fleet, HostLocation, wait_until

SERVICES = Path(__file__).parents[1] / "examples" / "services"
PLACES = (
    HostLocation("east", "east-1"),
    HostLocation("west", "west-1"),
    HostLocation("east", "east-2"),
    HostLocation("west", "west-2"),
)
_STARTS_AT_ONCE = 3
_KV_THREADS = 256
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_PID = re.compile(r"pid=(\d+)")
_SENT_BYTES = re.compile(r"bytes_sent:(\d+)")
_RECEIVED_BYTES = re.compile(r"bytes_received:(\d+)")
_SENT_SEGMENTS = re.compile(r"data_segs_out:(\d+)")


class Totals(NamedTuple):
    """Counters of all nodes together at one time."""

    at_s: float
    cpu_s: float
    sent_bytes: int
    received_bytes: int
    sent_messages: int
    kv_calls: int


class Spread(NamedTuple):
    """Seconds from the call of a publication until it was in force on a share of the nodes."""

    half_s: float
    all_s: float


def main() -> None:
    """Starts growing deployments of one fleet and prints the figures of each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[5, 50, 150])
    parser.add_argument("--role", choices=("upstream", "entry"), default="upstream")
    parser.add_argument("--window_s", type=float, default=15.0)
    parser.add_argument("--publications", type=int, default=5)
    args = parser.parse_args()
    figures: list[Mapping[str, float]] = []
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.kv_address = fleet.start_standin("kv", "kv", f"--threads={_KV_THREADS}")
        names: list[str] = []
        version = 0
        for size in args.sizes:
            _grow(fleet, names, size, args.role)
            spreads = []
            for _ in range(args.publications):
                spreads.append(_publish(fleet, names, version))
                version += 1
            figures.append(_measure(fleet, names, spreads, args.window_s))
            _show(f"at {size} {args.role} nodes", figures[-1])
    _show("slope per node", _slopes(figures))


def _grow(fleet: Fleet, names: list[str], size: int, role: str) -> None:
    """Starts processes of a role until there are as many as wanted."""

    def start(number: int) -> str:
        name = f"node-{number}"
        place = PLACES[number % len(PLACES)]
        if role == "entry":
            # Idle callers' threads of 150 entries exceed what one machine allows.
            fleet.start_entry(name, place, "--max_open=16")
        else:
            fleet.start_upstream(name, place, "shop", "127.0.0.1:9")
        return name

    with ThreadPoolExecutor(_STARTS_AT_ONCE) as pool:
        names.extend(pool.map(start, range(len(names), size)))


def _publish(fleet: Fleet, names: Sequence[str], version: int) -> Spread:
    services = dict(collect([SERVICES]).unwrap().services)
    services["shop"] = services["shop"]._replace(slots=version + 1)
    began_s = time.time()
    req = PublishRequest(services, "bench", version, f"bench-{version}", began_s)
    publish(connect(fleet.kv_address, 2.0), req, (), time.sleep).unwrap()
    wait_until(lambda: len(_adopted(fleet, names, version + 1)) == len(names), 60.0)
    taken = sorted(at_s - began_s for at_s in _adopted(fleet, names, version + 1))
    return Spread(statistics.median(taken), taken[-1])


def _adopted(fleet: Fleet, names: Sequence[str], version: int) -> list[float]:
    """Returns when each node adopted a version, in seconds since the epoch."""
    return [
        datetime.fromisoformat(line["time"]).timestamp()
        for name in names
        for line in fleet.procs[name].events
        if line.get("event") == "config_adopted" and line["config_version"] == version
    ]


def _measure(
    fleet: Fleet, names: Sequence[str], spreads: Sequence[Spread], window_s: float
) -> Mapping[str, float]:
    pids = [fleet.procs[name].popen.pid for name in names]
    before = _totals(fleet, pids)
    time.sleep(window_s)
    after = _totals(fleet, pids)
    elapsed_s = after.at_s - before.at_s
    per_node = elapsed_s * len(names)
    return {
        "nodes": len(names),
        "publish_to_half_s": statistics.median(spread.half_s for spread in spreads),
        "publish_to_all_median_s": statistics.median(spread.all_s for spread in spreads),
        "publish_to_all_longest_s": max(spread.all_s for spread in spreads),
        "cpu_percent_per_node": 100 * (after.cpu_s - before.cpu_s) / per_node,
        "sent_bytes_per_s_per_node": (after.sent_bytes - before.sent_bytes) / per_node,
        "received_bytes_per_s_per_node": (after.received_bytes - before.received_bytes) / per_node,
        "sent_messages_per_s_per_node": (after.sent_messages - before.sent_messages) / per_node,
        "resident_mb_per_node": statistics.mean(_resident_bytes(pid) for pid in pids) / 1e6,
        "kv_calls_per_s": (after.kv_calls - before.kv_calls) / elapsed_s,
        "kv_watches_waiting": _counters(fleet)["watches_waiting"],
    }


def _totals(fleet: Fleet, pids: Sequence[int]) -> Totals:
    wanted = frozenset(pids)
    listed = subprocess.run(
        ["ss", "-tinpHO", "state", "established"], capture_output=True, text=True, check=True
    )
    lines = [line for line in listed.stdout.splitlines() if _pid_of(line) in wanted]
    return Totals(
        at_s=time.monotonic(),
        cpu_s=sum(_cpu_s(pid) for pid in pids),
        sent_bytes=sum(_number(_SENT_BYTES, line) for line in lines),
        received_bytes=sum(_number(_RECEIVED_BYTES, line) for line in lines),
        sent_messages=sum(_number(_SENT_SEGMENTS, line) for line in lines),
        kv_calls=sum(_counters(fleet)["calls"].values()),
    )


def _counters(fleet: Fleet) -> dict[str, dict[str, int]]:
    url = f"http://{fleet.kv_address}/standin/counters"
    return json.loads(urllib3.request("GET", url).data)


def _pid_of(line: str) -> int:
    return _number(_PID, line)


def _number(pattern: re.Pattern[str], line: str) -> int:
    found = pattern.search(line)
    return int(found.group(1)) if found else 0


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _resident_bytes(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE_BYTES


def _slopes(figures: Sequence[Mapping[str, float]]) -> Mapping[str, float]:
    """Returns the growth of each figure with one more node, by least squares."""
    if len(figures) < 2:
        return {}
    nodes = [figure["nodes"] for figure in figures]
    return {
        name: statistics.linear_regression(nodes, [figure[name] for figure in figures]).slope
        for name in figures[0]
        if name != "nodes"
    }


def _show(title: str, figures: Mapping[str, float]) -> None:
    for name, value in figures.items():
        print(json.dumps({"bench": "fleet", "of": title, "figure": name, "value": round(value, 5)}))


if __name__ == "__main__":
    main()
