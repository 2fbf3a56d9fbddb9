"""Prints what no policy can beat on the generated traces, as JSON lines.

For each deployment at a load of 1.0: the tool pauses alone; every program on an engine of its own
that holds its prefix; and, for scale, the front class under the whole policy without the others.
"""

import json
import statistics
import sys
from collections import defaultdict
from collections.abc import Callable

import workloads
from absl import app, flags
from endiveworks.replay.engine import Rates
from endiveworks.replay.measures import quantile
from endiveworks.replay.policy import FULL
from endiveworks.replay.run import replay
from endiveworks.replay.trace import Call, Trace, group_by_program

_SEEDS = flags.DEFINE_integer("seeds", 3, "Number of seeds, from 1.")
_DURATION = flags.DEFINE_float("duration_s", 600.0, "Time over which programs arrive.")

CallTime = Callable[[int, Call], float]


def latencies(trace: Trace, call_s: CallTime) -> dict[str, float]:
    """Returns the latency of each program without a parent, by the time that its calls take.

    Args:
        trace: The programs.
        call_s: Returns the time of a call from the length of the history before it.
    """
    grouped = group_by_program(trace.calls)
    children: dict[tuple[str, int], list[str]] = defaultdict(list)
    for name, calls in grouped.items():
        if calls[0].parent:
            children[calls[0].parent, calls[0].parent_call].append(name)

    def latency_s(name: str) -> float:
        now_s = children_s = 0.0
        history = 0
        for call in grouped[name]:
            if call.call:
                now_s = max(now_s + call.pause_s, children_s)
            now_s += call_s(history, call)
            history += call.new_tokens + call.output_tokens
            for child in children.get((name, call.call), ()):
                ended_s = now_s + grouped[child][0].pause_s + latency_s(child)
                children_s = max(children_s, ended_s)
        return now_s

    return {name: latency_s(name) for name, calls in grouped.items() if not calls[0].parent}


def alone(rates: Rates) -> CallTime:
    """Returns the time of a call that has an engine, with the prefix in its memory, to itself."""

    def call_s(history: int, call: Call) -> float:
        context = history + call.new_tokens + call.output_tokens / 2
        token_s = rates.step_s + rates.step_per_sequence_s
        token_s += rates.step_per_context_token_s * context
        return call.new_tokens / rates.prefill_tokens_per_s + call.output_tokens * token_s

    return call_s


def bounds(deployment: workloads.Deployment, seed: int) -> dict[str, float]:
    """Returns the bounds of one trace."""
    trace = workloads.generate(deployment, 1.0, seed, _DURATION.value)
    front = min(deployment.classes, key=lambda name: deployment.classes[name])
    calls = tuple(call for call in trace.calls if call.class_name == front)
    found = {}
    for name, call_s in (("pauses", lambda *_: 0.0), ("alone", alone(trace.header.rates))):
        every = latencies(trace, call_s)
        ours = sorted(latencies(trace._replace(calls=calls), call_s).values())
        found[f"{name}_front_p95_s"] = quantile(ours, 0.95)
        found[f"{name}_mean_s"] = statistics.mean(every.values())
    found["front_class_only_p95_s"] = replay(trace._replace(calls=calls), FULL, seed).front_p95_s
    return found


def main(argv: list[str]) -> None:
    """Prints the mean of each bound over the seeds."""
    del argv
    for deployment in workloads.DEPLOYMENTS:
        runs = [bounds(deployment, seed) for seed in range(1, _SEEDS.value + 1)]
        for figure in runs[0]:
            value = round(statistics.mean(run[figure] for run in runs), 1)
            line = {"deployment": deployment.name, "figure": figure, "value": value}
            print(json.dumps(line), flush=True)


if __name__ == "__main__":
    sys.exit(app.run(main))
