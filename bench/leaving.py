"""Measures how long an upstream that leaves or is killed still gets work, under load.

Run as `python bench/leaving.py`; prints one JSON line for each figure. Every process is real. Two
entries and three upstream processes, each before a plain service of its own, serve programs that
call without pause; then one upstream process leaves by signal, is named as leaving by the
platform's list alone, or is killed.
"""

import argparse
import json
import statistics
import tempfile
import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import urllib3
from endiveworks.client.caller import Program, connect
from endiveworks_standins.callers import open_when_ready
from endiveworks_standins.fleet import Fleet, HostLocation, wait_until
from returns.result import Success

SERVICES = Path(__file__).parents[1] / "examples" / "services"
PLACE = HostLocation("east", "east-1")
ENTRIES = ("entry-1", "entry-2")
UPSTREAMS = ("up-1", "up-2", "up-3")
LEAVING = "up-1"
PROGRAMS = 8
_WARM_CALLS = 50
_POLL_S = 0.01


class Trial(NamedTuple):
    """What one departure cost.

    Attributes:
        work_s: Seconds from the departure to the last work that the upstream was given.
        calls: Calls that ended from the departure on.
        failures: Calls that failed from the departure on.
        slowest_s: The longest call from the departure on.
    """

    work_s: float
    calls: int
    failures: int
    slowest_s: float


class Bench(Fleet):
    """The deployment and the calls that it serves."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.start_kv()
        self.publish(SERVICES)
        self.shops = {name: self.start_plain(f"shop-{name}") for name in UPSTREAMS}
        for name in UPSTREAMS:
            self.start_link(name)
            self.add_upstream(name)
        self.addresses = [self.start_entry(name, PLACE) for name in ENTRIES]
        self.calls: list[tuple[float, float, bool]] = []
        self.stop = threading.Event()

    def start_link(self, name: str) -> None:
        """Starts the forwarder through which an upstream process is reached."""
        self.start_standin(f"link-{name}", "forwarder")

    def add_upstream(self, name: str) -> None:
        """Starts an upstream process behind its forwarder."""
        link = self.procs[f"link-{name}"].wait_event("listening")
        self.start_upstream(name, PLACE, "shop", self.shops[name], f"--advertise={link['address']}")
        target = self.procs[name].wait_event("listening")["thrift"]
        post(link["control"], "/standin/target", {"target": target})

    def submits(self, name: str) -> int:
        """Returns how many connections were opened to an upstream process for an attempt."""
        control = self.procs[f"link-{name}"].wait_event("listening")["control"]
        return int(post(control, "/standin/none", {})["submits"])

    def last_execution_s(self, name: str) -> float:
        """Returns when an upstream last executed a call, in seconds since the epoch."""
        return self.log_file(f"shop-{name}").stat().st_mtime

    def set_list(self, state: str) -> None:
        """Has the platform's list name the upstream with a state."""
        hosts = [{"host": name, "state": "live"} for name in UPSTREAMS]
        hosts[UPSTREAMS.index(LEAVING)]["state"] = state
        post(self.kv_address, "/standin/hosts", {"hosts": hosts})

    def open_program(self) -> Program:
        """Opens a program as soon as the deployment allows."""
        reached = connect(self.addresses, "signs", 60.0, 10.0)
        return open_when_ready(reached, "shop", "front", 400_000)

    def load(self) -> None:
        """Makes calls, each of a program of its own now and then, until it is told to stop."""
        while not self.stop.is_set():
            program = self.open_program()
            for _ in range(4):
                began_s = time.time()
                outcome = program.call("shop", "lookup", {"item": "fascia"})
                good = isinstance(outcome, Success) and outcome.unwrap().status == 200
                self.calls.append((began_s, time.time() - began_s, good))
            program.close()

    def wait_served(self, name: str) -> None:
        """Waits until an upstream process has work."""
        before = len(self.executed(f"shop-{name}"))
        wait_until(lambda: len(self.executed(f"shop-{name}")) > before + _WARM_CALLS)


def post(address: str, path: str, body: Any) -> Any:
    """Sends a command to a stand-in."""
    return json.loads(urllib3.request("POST", f"http://{address}{path}", json=body).data)


def main() -> None:
    """Makes an upstream leave in each way some times and prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--trials", type=int, default=5)
    parser.add_argument("--watch_s", type=float, default=20.0)
    args = parser.parse_args()
    ways: Mapping[str, Callable[[Bench, float], Trial]] = {
        "signal": _by_signal,
        "host list": _by_list,
        "killed": _killed,
        "killed, connections still accepted": _killed_behind_link,
    }
    with tempfile.TemporaryDirectory() as folder, Bench(Path(folder)) as bench:
        bench.set_list("live")
        with ThreadPoolExecutor(PROGRAMS) as pool:
            for _ in range(PROGRAMS):
                pool.submit(bench.load)
            try:
                for way, leave in ways.items():
                    trials = [_trial(bench, leave, args.watch_s) for _ in range(args.trials)]
                    _show(way, trials)
            finally:
                bench.stop.set()


def _trial(bench: Bench, leave: Callable[[Bench, float], Trial], watch_s: float) -> Trial:
    bench.wait_served(LEAVING)
    trial = leave(bench, watch_s)
    if bench.procs[LEAVING].popen.poll() is not None:
        bench.add_upstream(LEAVING)
    bench.set_list("live")
    return trial


def _by_signal(bench: Bench, watch_s: float) -> Trial:
    began_s = time.time()
    bench.procs[LEAVING].popen.terminate()
    time.sleep(watch_s)
    return _outcome(bench, began_s, bench.last_execution_s(LEAVING))


def _by_list(bench: Bench, watch_s: float) -> Trial:
    began_s = time.time()
    bench.set_list("leaving")
    time.sleep(watch_s)
    return _outcome(bench, began_s, bench.last_execution_s(LEAVING))


def _killed(bench: Bench, watch_s: float) -> Trial:
    """Kills the process so that its address refuses connections."""
    began_s = time.time()
    bench.procs[LEAVING].kill()
    bench.procs[f"link-{LEAVING}"].kill()
    time.sleep(watch_s)
    trial = _outcome(bench, began_s, bench.last_execution_s(LEAVING))
    bench.start_link(LEAVING)
    return trial


def _killed_behind_link(bench: Bench, watch_s: float) -> Trial:
    """Kills the process and counts the attempts sent to its address, which still accepts them."""
    began_s = time.time()
    bench.procs[LEAVING].kill()
    last_s, submits = began_s, bench.submits(LEAVING)
    while time.time() < began_s + watch_s:
        time.sleep(_POLL_S)
        now = bench.submits(LEAVING)
        if now > submits:
            last_s, submits = time.time(), now
    return _outcome(bench, began_s, last_s)


def _outcome(bench: Bench, began_s: float, last_s: float) -> Trial:
    calls = [call for call in list(bench.calls) if call[0] + call[1] >= began_s]
    failures = sum(not good for _, _, good in calls)
    return Trial(
        max(0.0, last_s - began_s), len(calls), failures, max(took_s for _, took_s, _ in calls)
    )


def _show(way: str, trials: list[Trial]) -> None:
    times = [trial.work_s for trial in trials]
    figures = {
        "trials": len(trials),
        "last_work_median_s": statistics.median(times),
        "last_work_longest_s": max(times),
        "calls": sum(trial.calls for trial in trials),
        "failed_calls": sum(trial.failures for trial in trials),
        "slowest_call_s": max(trial.slowest_s for trial in trials),
    }
    for name, value in figures.items():
        line = {"bench": "leaving", "of": way, "figure": name, "value": round(value, 4)}
        print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
