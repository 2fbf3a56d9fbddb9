"""Plots the figures of bench/path.py: `.venv/bin/python bench/report.py FILE.jsonl OUT.png`."""

import json
import re
import sys
from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 (the backend has to be chosen first)
from matplotlib.axes import Axes  # noqa: E402

_BY_STREAMS = re.compile(r"(?P<name>.+)_(?P<streams>\d+)_streams")
_PANELS = (
    ("gap_p95_ms", "95th percentile of the gap between chunks, ms"),
    ("cpu_us_per_token", "processor time for each token, µs"),
    ("memory_kb_per_stream", "memory for each open stream, kB"),
)


class Point(NamedTuple):
    """One figure at a number of streams; baseline is that of the direct call, if any."""

    streams: int
    value: float
    baseline: float | None


def read(path: Path) -> dict[str, list[Point]]:
    """Returns the figures that were taken at several numbers of streams, by name."""
    found: dict[str, list[Point]] = defaultdict(list)
    for line in path.read_text().splitlines():
        figure = json.loads(line)
        match = _BY_STREAMS.fullmatch(figure["figure"])
        if match:
            point = Point(int(match["streams"]), figure["value"], figure.get("baseline"))
            found[match["name"]].append(point)
    return found


def plot(figures: dict[str, list[Point]], out: Path) -> None:
    """Draws one panel for each kind of figure."""
    picture, axes = pyplot.subplots(1, len(_PANELS), figsize=(15, 4.5))
    for axis, (suffix, title) in zip(axes, _PANELS, strict=True):
        for name, points in sorted(figures.items()):
            if name.endswith(suffix):
                _draw(axis, name.removesuffix(suffix).strip("_") or "path", points)
        axis.set_title(title)
        axis.set_xlabel("open streams")
        axis.set_ylim(bottom=0)
        axis.legend()
    picture.tight_layout()
    picture.savefig(out, dpi=100)


def _draw(axis: Axes, label: str, points: Sequence[Point]) -> None:
    counts = [point.streams for point in points]
    axis.plot(counts, [point.value for point in points], marker="o", label=label)
    baselines = [point.baseline for point in points if point.baseline is not None]
    if len(baselines) == len(points):
        axis.plot(counts, baselines, marker="x", linestyle="--", label="direct call")


if __name__ == "__main__":
    plot(read(Path(sys.argv[1])), Path(sys.argv[2]))
