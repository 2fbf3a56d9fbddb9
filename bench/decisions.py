"""Measures the decisions against two baselines and prints one JSON line for each figure.

Replays the generated traces under the whole policy, the baselines and the policy without each of
its parts, all with the same traces and seeds; then times single decisions.
"""

import json
import random
import statistics
import sys
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import workloads
from absl import app, flags
from endiveworks.admission.queue import FairQueue, QueueConfig, QueuedCall, dequeue, enqueue
from endiveworks.config.bundle import CostWeights
from endiveworks.replay.measures import Measures
from endiveworks.replay.policy import (
    BASELINES,
    FEATURES,
    FULL,
    ROUND_ROBIN,
    STALE_REPORT_POLICIES,
    STICKY,
    Policy,
    with_routing,
    without_feature,
)
from endiveworks.replay.run import replay
from endiveworks.routing.upstream_choice import (
    CachedPrefix,
    CostModel,
    RoutingRequest,
    UpstreamState,
    choose_upstream,
)

_SEEDS = flags.DEFINE_integer("seeds", 3, "Number of seeds, from 1.")
_DURATION = flags.DEFINE_float("duration_s", 600.0, "Time over which programs arrive.")
_WORKERS = flags.DEFINE_integer("workers", 3, "Replays run at once.")
_PARTS = flags.DEFINE_bool("parts", True, "Whether each part is switched off in turn.")

FLOODED = (
    workloads.THISTLE._replace(name="thistle-flooded", flooding="perth"),
    workloads.AUTHORITY._replace(name="authority-flooded", flooding="inspectors"),
)
DEPLOYMENTS = {deployment.name: deployment for deployment in (*workloads.DEPLOYMENTS, *FLOODED)}
LOADS = (0.5, 0.8, 1.0, 1.3)
DEEP_LOAD = 2.0
COMPARED = (
    "mean_s",
    "calls_mean_s",
    "front_p95_s",
    "front_calls_p95_s",
    "wasted_tokens",
    "goodput",
)
REPORTED = (
    "done_share",
    "tenant_share",
    "link_share",
    "refusals",
    "preempted",
    "moved_tokens",
    "report_age_s",
)
TIMED_ROUNDS = 2_000


class Task(NamedTuple):
    """One replay."""

    deployment: str
    load: float
    loss: bool
    seed: int
    policy: Policy
    duration_s: float


def run(task: Task) -> Measures:
    """Replays one generated trace."""
    trace = workloads.generate(DEPLOYMENTS[task.deployment], task.load, task.seed, task.duration_s)
    if task.loss:
        trace = workloads.with_loss(trace, task.duration_s)
    return replay(trace, task.policy, task.seed)


def tasks(seeds: Iterable[int], duration_s: float, parts: bool) -> list[Task]:
    """Lists all replays."""
    names = [deployment.name for deployment in workloads.DEPLOYMENTS]
    found = [
        Task(name, load, loss, seed, policy, duration_s)
        for name in names
        for seed in seeds
        for policy in (FULL, *BASELINES)
        for load, loss in (*((load, False) for load in LOADS), (workloads.LOSS_LOAD, True))
    ]
    found += [
        Task(name, 1.0, False, seed, policy, duration_s)
        for name in names
        for seed in seeds
        for policy in STALE_REPORT_POLICIES
    ]
    if parts:
        found += _part_tasks(names, duration_s)
    return found


def _part_tasks(names: Iterable[str], duration_s: float) -> list[Task]:
    # One seed shows the worth of a part; the comparison with the baselines takes all.
    changed = [*map(without_feature, FEATURES), with_routing("sticky")]
    found = [
        Task(name, load, False, 1, policy, duration_s)
        for name in names
        for load in (1.0, 1.3)
        for policy in changed
    ]
    deep = [FULL, *BASELINES, without_feature("refuse"), without_feature("preempt")]
    found += [
        Task(name, DEEP_LOAD, False, 1, policy, duration_s) for name in names for policy in deep
    ]
    flooded = [FULL, *BASELINES, without_feature("shares")]
    found += [
        Task(deployment.name, load, False, 1, policy, duration_s)
        for deployment in FLOODED
        for load in (1.3, DEEP_LOAD)
        for policy in flooded
    ]
    return found


def report(results: dict[Task, Measures]) -> None:
    """Prints the figures of every policy beside the better baseline of the same runs."""
    cells = sorted({(task.deployment, task.load, task.loss) for task in results})
    for cell in cells:
        runs: dict[str, list[Measures]] = {}
        for task, measures in results.items():
            if (task.deployment, task.load, task.loss) == cell:
                runs.setdefault(task.policy.name, []).append(measures)
        for name, found in runs.items():
            _report_policy(cell, name, found, runs)


def _report_policy(
    cell: tuple[str, float, bool],
    name: str,
    found: list[Measures],
    runs: dict[str, list[Measures]],
) -> None:
    place = {"deployment": cell[0], "load": cell[1], "replica_lost": cell[2], "policy": name}
    for figure in COMPARED:
        values = [float(getattr(measures, figure)) for measures in found]
        better = max if figure == "goodput" else min
        baseline, reference = better(
            (_mean(runs[policy.name], figure), policy.name) for policy in (ROUND_ROBIN, STICKY)
        )
        mean = statistics.mean(values)
        line = {
            **place,
            "figure": figure,
            "value": round(mean, 3),
            "lowest": round(min(values), 3),
            "highest": round(max(values), 3),
            "seeds": len(values),
            "baseline": reference,
            "baseline_value": round(baseline, 3),
            "ratio": round(mean / baseline, 3) if baseline else None,
        }
        print(json.dumps(line), flush=True)
    for figure in REPORTED:
        values = [float(getattr(measures, figure)) for measures in found]
        line = {
            **place,
            "figure": figure,
            "value": round(statistics.mean(values), 3),
            "lowest": round(min(values), 3),
            "highest": round(max(values), 3),
            "seeds": len(values),
        }
        print(json.dumps(line), flush=True)


def _mean(runs: list[Measures], figure: str) -> float:
    return statistics.mean(float(getattr(measures, figure)) for measures in runs)


def time_choice(count: int) -> float:
    """Returns the microseconds that a choice among a number of replicas takes."""
    costs = CostModel(CostWeights(1.0, 1.0), 20_000.0, 0.02, 1e6, 1e6)
    source = random.Random(1)
    replicas = [UpstreamState(f"r{at}", "east", source.random(), 0.0) for at in range(count)]
    call = RoutingRequest("east", 4_000, 20_000, CachedPrefix(f"r{count - 1}", 3_000))
    return _time_us(lambda: choose_upstream(call, replicas, costs, 1.0, source))


def time_queue(length: int) -> float:
    """Returns the microseconds to take one call and offer another, by the queue's length."""
    source = random.Random(1)
    queue = FairQueue(QueueConfig())
    for at in range(length):
        enqueue(queue, _waiting(source, at))
    numbers = iter(range(length, length + 10 * TIMED_ROUNDS))

    def turn() -> None:
        dequeue(queue, 1.0)
        enqueue(queue, _waiting(source, next(numbers)))

    return _time_us(turn)


def time_decisions() -> None:
    """Prints the time of single decisions by the size of what they decide on."""
    for count in (10, 60, 600):
        line = {"figure": "choose_us", "replicas": count, "value": time_choice(count)}
        print(json.dumps(line), flush=True)
    for length in (100, 1_000, 20_000):
        line = {"figure": "take_offer_us", "queued": length, "value": time_queue(length)}
        print(json.dumps(line), flush=True)


def _waiting(source: random.Random, number: int) -> QueuedCall:
    return QueuedCall(
        key=str(number),
        tenant=f"t{source.randrange(100)}",
        weight=1.0,
        priority=source.randrange(3),
        attained_tokens=source.randrange(100_000),
        cost_s=source.random(),
        arrived_s=number / 1_000,
    )


def _time_us(act: Callable[[], object]) -> float:
    laps = []
    for _ in range(5):
        began = time.perf_counter()
        for _ in range(TIMED_ROUNDS):
            act()
        laps.append((time.perf_counter() - began) / TIMED_ROUNDS)
    return round(statistics.median(laps) * 1e6, 2)


def main(argv: list[str]) -> None:
    """Runs all replays and timings."""
    del argv
    time_decisions()
    todo = tasks(range(1, _SEEDS.value + 1), _DURATION.value, _PARTS.value)
    with ProcessPoolExecutor(_WORKERS.value) as pool:
        results = dict(zip(todo, pool.map(run, todo), strict=True))
    report(results)


if __name__ == "__main__":
    sys.exit(app.run(main))
