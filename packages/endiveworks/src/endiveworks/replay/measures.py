"""Measures of a replay and the outcomes that a trace states."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from .trace import Call, Trace

LINK_WINDOW_S = 10.0


class CallSeen(NamedTuple):
    """A call that has ended."""

    call: Call
    host: str
    issued_s: float
    ended_s: float
    wasted_tokens: int
    bytes_across: int


class ProgramSeen(NamedTuple):
    """A program that has ended; ending is "done", "refused" or "no_upstream"."""

    first: Call
    arrived_s: float
    ended_s: float
    ending: str
    refusals: int


class Measures(NamedTuple):
    """What a replay measured.

    Attributes:
        policy: Name of the policy.
        programs: Programs that ended.
        done_share: Share of the programs of the trace that were completed.
        mean_s: Mean latency of completed programs, sub-agents aside.
        p50_s: Median of the same.
        p95_s: 95th percentile of the same.
        front_p95_s: 95th percentile of the first class.
        calls_mean_s: Mean time that a completed program spent in its own calls, pauses aside.
        front_calls_p95_s: 95th percentile of that time for the first class.
        class_p95_s: 95th percentile by class.
        class_max_call_s: Longest call by class.
        wasted_tokens: Prefix tokens computed again.
        link_share: Highest share of the link's rate used over ten seconds.
        tenant_share: Lowest ratio of a tenant's service to what it was entitled to.
        goodput: Programs completed a second while programs arrive.
        refusals: Refused calls.
        preempted: Calls cancelled for a higher class.
        moved_tokens: Prefix tokens exported to or imported from the memory of the same host.
        report_age_s: Mean age of the load report of the upstream that was chosen.
    """

    policy: str
    programs: int
    done_share: float
    mean_s: float
    p50_s: float
    p95_s: float
    front_p95_s: float
    calls_mean_s: float
    front_calls_p95_s: float
    class_p95_s: dict[str, float]
    class_max_call_s: dict[str, float]
    wasted_tokens: int
    link_share: float
    tenant_share: float
    goodput: float
    refusals: int
    preempted: int
    moved_tokens: int
    report_age_s: float = 0.0


class Breach(NamedTuple):
    """A measure outside the bounds that the trace states."""

    measure: str
    value: float
    lowest: float
    highest: float


def measure(
    trace: Trace,
    policy: str,
    calls: Sequence[CallSeen],
    programs: Sequence[ProgramSeen],
    preempted: int,
    moved_tokens: int,
) -> Measures:
    """Works out the measures of a replay."""
    roots = [seen for seen in programs if not seen.first.parent]
    done = [seen for seen in roots if seen.ending == "done"]
    arrived = {call.program for call in trace.calls if not call.parent}
    by_class = _latencies(done)
    classes = trace.header.classes
    front = min(classes, key=lambda name: classes[name])
    front_done = [seen for seen in done if seen.first.class_name == front]
    in_calls = {seen.first.program: 0.0 for seen in done}
    for call in calls:
        if call.call.program in in_calls:
            in_calls[call.call.program] += call.ended_s - call.issued_s
    latencies = sorted(seen.ended_s - seen.arrived_s for seen in done)
    window_s = max((call.at_s for call in trace.calls), default=0.0) or 1.0
    return Measures(
        policy,
        len(roots),
        len(done) / max(1, len(arrived)),
        sum(latencies) / max(1, len(latencies)),
        quantile(latencies, 0.5),
        quantile(latencies, 0.95),
        quantile(by_class.get(front, []), 0.95),
        sum(in_calls.values()) / max(1, len(in_calls)),
        quantile(sorted(in_calls[seen.first.program] for seen in front_done), 0.95),
        {name: quantile(values, 0.95) for name, values in sorted(by_class.items())},
        _longest_calls(calls),
        sum(seen.wasted_tokens for seen in calls),
        _link_share(calls, trace.header.link_bytes_per_s),
        _tenant_share(calls, trace.header.tenants, window_s),
        sum(seen.ended_s <= window_s for seen in done) / window_s,
        sum(seen.refusals for seen in programs),
        preempted,
        moved_tokens,
    )


def check(outcomes: Mapping[str, tuple[float, float]], measures: Measures) -> list[Breach]:
    """Lists the measures that lie outside their bounds."""
    values = measures._asdict()
    unknown = sorted(set(outcomes) - set(values))
    if unknown:
        raise KeyError(f"unknown measures: {', '.join(unknown)}")
    return [
        Breach(name, values[name], lowest, highest)
        for name, (lowest, highest) in outcomes.items()
        if not lowest <= values[name] <= highest
    ]


def quantile(ordered: Sequence[float], share: float) -> float:
    """Returns a quantile of sorted values; 0 when there are none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _latencies(done: Iterable[ProgramSeen]) -> dict[str, list[float]]:
    found = defaultdict(list)
    for seen in done:
        found[seen.first.class_name].append(seen.ended_s - seen.arrived_s)
    return {name: sorted(values) for name, values in found.items()}


def _longest_calls(calls: Iterable[CallSeen]) -> dict[str, float]:
    found: dict[str, float] = defaultdict(float)
    for seen in calls:
        name = seen.call.class_name
        found[name] = max(found[name], seen.ended_s - seen.issued_s)
    return dict(sorted(found.items()))


def _link_share(calls: Iterable[CallSeen], rate: float) -> float:
    windows: dict[tuple[str, int], int] = defaultdict(int)
    for seen in calls:
        windows[seen.call.region, int(seen.ended_s / LINK_WINDOW_S)] += seen.bytes_across
    return max(windows.values(), default=0) / (rate * LINK_WINDOW_S)


def _tenant_share(
    calls: Iterable[CallSeen], weights: Mapping[str, float], window_s: float
) -> float:
    # What was asked for before the window's last tenth could have been served within it.
    served: dict[str, float] = defaultdict(float)
    asked: dict[str, float] = defaultdict(float)
    for seen in calls:
        tokens = seen.call.new_tokens + seen.call.output_tokens
        if seen.issued_s <= 0.9 * window_s:
            asked[seen.call.tenant] += tokens
        if seen.ended_s <= window_s:
            served[seen.call.tenant] += tokens
    total = sum(served.values())
    whole = sum(weights.values())
    ratios = [
        served[tenant] / min(asked[tenant], total * weight / whole)
        for tenant, weight in weights.items()
        if asked[tenant] and total
    ]
    return min(ratios, default=1.0)
