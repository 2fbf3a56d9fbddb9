"""Writes the traces of both deployments, generated from a seed."""

import sys
from pathlib import Path

import workloads
from absl import app, flags
from endiveworks.replay.policy import FULL
from endiveworks.replay.run import replay
from endiveworks.replay.trace import Trace, write_trace

_OUT = flags.DEFINE_string("out", "bench/traces", "Folder that the traces are written to.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the generator.")
_DURATION = flags.DEFINE_float("duration_s", 60.0, "Time over which programs arrive.")

MARGIN = 1.1


def with_outcomes(trace: Trace) -> Trace:
    """States as outcomes what must always hold, and the policy's present measures with a margin.

    Tenants' shares are left out: within a minute of arrivals too little is asked for and served.
    """
    found = replay(trace, FULL)
    outcomes = {
        "done_share": (1.0, 1.0),
        "link_share": (0.0, 1.0),
        "mean_s": (0.0, round(found.mean_s * MARGIN, 1)),
        "front_p95_s": (0.0, round(found.front_p95_s * MARGIN, 1)),
    }
    return trace._replace(header=trace.header._replace(outcomes=outcomes))


def main(argv: list[str]) -> None:
    """Writes every trace of both deployments."""
    del argv
    out = Path(_OUT.value)
    out.mkdir(parents=True, exist_ok=True)
    for deployment in workloads.DEPLOYMENTS:
        for load in workloads.LOADS:
            trace = workloads.generate(deployment, load, _SEED.value, _DURATION.value)
            write_trace(out / f"{deployment.name}-{load}.jsonl", with_outcomes(trace))
            if load == workloads.LOSS_LOAD:
                path = out / f"{deployment.name}-{load}-loss.jsonl"
                lost = workloads.with_loss(trace, _DURATION.value)
                write_trace(path, with_outcomes(lost))


if __name__ == "__main__":
    sys.exit(app.run(main))
