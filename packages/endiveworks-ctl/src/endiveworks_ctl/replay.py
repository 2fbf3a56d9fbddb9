"""endivectl replay: replays traces under the policy and checks the outcomes that they state."""

from pathlib import Path

from endiveworks.replay.measures import Breach, Measures, check
from endiveworks.replay.policy import BASELINES, FULL
from endiveworks.replay.run import replay as replay_trace
from endiveworks.replay.trace import TraceError, read_trace

from .exits import Exit
from .output import Column, Invocation, show_rows

_COLUMNS = (
    Column("trace", "TRACE"),
    Column("policy", "POLICY"),
    Column("done_share", "DONE"),
    Column("mean_s", "MEAN_S"),
    Column("p95_s", "P95_S"),
    Column("front_p95_s", "FRONT_P95_S"),
    Column("wasted_tokens", "WASTED"),
    Column("refusals", "REFUSALS"),
)


def replay(invocation: Invocation) -> int:
    """Replays each trace under the policy and the baselines and prints the measures."""
    rows: list[dict[str, object]] = []
    breaches: list[str] = []
    for name in invocation.args:
        try:
            trace = read_trace(Path(name))
            measures = [replay_trace(trace, policy) for policy in (FULL, *BASELINES)]
            found = check(trace.header.outcomes, measures[0])
        except (OSError, TraceError, KeyError) as exc:
            print(f"endivectl: {exc}", file=invocation.terminal.err)
            return Exit.REFUSED
        rows += [_row(name, row) for row in measures]
        breaches += [_sentence(name, breach) for breach in found]
    show_rows(invocation.terminal, rows, _COLUMNS)
    for breach in breaches:
        print(f"endivectl: {breach}", file=invocation.terminal.err)
    return Exit.DIFFERENT if breaches else Exit.OK


def _row(name: str, measures: Measures) -> dict[str, object]:
    return {"trace": Path(name).name, **measures._asdict()}


def _sentence(name: str, breach: Breach) -> str:
    bounds = f"{breach.lowest:g} to {breach.highest:g}"
    return f"{name}: {breach.measure} is {breach.value:g}, stated are {bounds}"
