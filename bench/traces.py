"""Writes the traces of both deployments, generated from a seed."""

import sys
from pathlib import Path

import workloads
from absl import app, flags
from endiveworks.replay.trace import write

_OUT = flags.DEFINE_string("out", "traces", "Folder that the traces are written to.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the generator.")
_DURATION = flags.DEFINE_float("duration_s", 120.0, "Time over which programs arrive.")


def main(argv: list[str]) -> None:
    """Writes every trace of both deployments."""
    del argv
    out = Path(_OUT.value)
    out.mkdir(parents=True, exist_ok=True)
    for deployment in workloads.DEPLOYMENTS:
        for load in workloads.LOADS:
            trace = workloads.generate(deployment, load, _SEED.value, _DURATION.value)
            write(out / f"{deployment.name}-{load}.jsonl", trace)
            if load == workloads.LOSS_LOAD:
                path = out / f"{deployment.name}-{load}-loss.jsonl"
                write(path, workloads.with_loss(trace, _DURATION.value))


if __name__ == "__main__":
    sys.exit(app.run(main))
