"""Measures a rolling change of version: its time, and the calls of the key-value service it takes.

Run as `python bench/engine_orders.py`; prints one JSON line for each size. Every node is a real
process on loopback. A load takes LOAD_S at the stand-in of the engine.
"""

import argparse
import json
import os
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import urllib3
from endiveworks_standins.fleet import Fleet, HostLocation, wait_until

LOAD_S = 1.0
EAST = HostLocation("east", "east-1")
_STARTS_AT_ONCE = 3
_QUIET_S = 5.0
SERVICE = """
name = "assistant"
kind = "model"
model = "m"
default_class = "back"
checks_fencing = true
deadline_s = 60.0
max_tokens = 100
slots = 4
classes = {{ back = 1 }}
tenants = {{ "*" = {{ budget_tokens = 400_000 }} }}

[engine]
version = "{version}"
reloads_at_once = {at_once}
store_loads = {at_once}
"""


def publish(fleet: Fleet, version: str, at_once: int) -> None:
    """Publishes a version of the service."""
    folder = fleet.folder / "services"
    folder.mkdir(exist_ok=True)
    text = SERVICE.format(version=version, at_once=at_once)
    (folder / "assistant.toml").write_text(text)
    fleet.publish(folder)


def ask(address: str, path: str) -> Any:
    """Returns what a stand-in answers."""
    return urllib3.request("GET", f"http://{address}{path}", timeout=10.0).json()


def kv_calls(fleet: Fleet) -> int:
    """Returns how many calls the key-value service has had."""
    return sum(ask(fleet.kv_address, "/standin/counters")["calls"].values())


def most_at_once(fleet: Fleet, engines: list[str]) -> int:
    """Returns the most loads that were under way at once, by the engines' logs."""
    lines = [line for name in engines for line in fleet.executed(name)]
    steps = [(line["at"], 1) for line in lines if line["event"] == "order"]
    steps += [(line["at"], -1) for line in lines if line["event"] == "loaded"]
    under_way = most = 0
    for _, change in sorted(steps):
        under_way += change
        most = max(most, under_way)
    return most


def measure(replicas: int, at_once: int) -> dict[str, object]:
    """Rolls one version out over a number of replicas."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.start_kv()
        publish(fleet, "1", at_once)
        engines = [f"engine-{at}" for at in range(replicas)]

        def start(name: str) -> str:
            flags = ("--model=m", "--model_version=1", f"--load_s={LOAD_S}", "--check_fencing")
            address = fleet.start_engine(name, *flags)
            fleet.start_upstream(f"up-{name}", EAST, "assistant", address)
            return address

        with ThreadPoolExecutor(_STARTS_AT_ONCE) as pool:
            addresses = list(pool.map(start, engines))
        before = kv_calls(fleet)
        time.sleep(_QUIET_S)
        quiet_per_s = (kv_calls(fleet) - before) / _QUIET_S
        before, began_s = kv_calls(fleet), time.monotonic()
        publish(fleet, "2", at_once)
        wait_until(lambda: all(ask(each, "/orders")["version"] == "2" for each in addresses))
        took_s = time.monotonic() - began_s
        calls = kv_calls(fleet) - before - quiet_per_s * took_s
        return {
            "replicas": replicas,
            "at_once": at_once,
            "took_s": round(took_s, 1),
            "loads_alone_s": LOAD_S * -(-replicas // at_once),
            "most_loads_at_once": most_at_once(fleet, engines),
            "kv_calls_per_replica": round(calls / replicas, 1),
            "kv_calls_per_s": round(calls / took_s, 1),
            "load_average": os.getloadavg()[0],
        }


def main() -> None:
    """Prints a line for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--replicas", type=int, nargs="+", default=[4, 8, 16])
    parser.add_argument("--at_once", type=int, nargs="+", default=[1, 4])
    args = parser.parse_args()
    for replicas in args.replicas:
        for at_once in args.at_once:
            print(json.dumps(measure(replicas, at_once)), flush=True)


if __name__ == "__main__":
    main()
