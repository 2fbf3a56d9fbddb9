"""Results of a replay, and the check against the outcomes stated in a trace."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from .trace import Call, Trace

LINK_WINDOW_S = 10.0


class CompletedCall(NamedTuple):
    """A call that has completed."""

    call: Call
    host: str
    issued_s: float
    ended_s: float
    wasted_tokens: int
    link_bytes: int


class FinishedProgram(NamedTuple):
    """A program that has ended; status is "done", "refused" or "no_upstream"."""

    first_call: Call
    arrived_s: float
    ended_s: float
    status: str
    refusals: int


class Measures(NamedTuple):
    """Results of a replay.

    Attributes:
        policy: Name of the policy.
        programs: Number of programs that ended, without sub-agents.
        done_share: Share of the programs in the trace that completed.
        mean_s: Mean latency of completed programs without sub-agents, in seconds.
        p50_s: Median of the same latency.
        p95_s: 95th percentile of the same latency.
        front_p95_s: 95th percentile of the same latency in the class that goes first.
        calls_mean_s: Mean time that a completed program spent in its own calls, without pauses.
        front_calls_p95_s: 95th percentile of that time in the class that goes first.
        class_p95_s: 95th percentile of the latency by class.
        class_max_call_s: Duration of the longest call by class.
        wasted_tokens: Prefix tokens that were recomputed.
        link_share: Highest utilization of the link over ten seconds.
        tenant_share: Lowest ratio of a tenant's service to its fair share.
        goodput: Programs completed per second while programs arrive.
        refusals: Number of refused calls.
        preempted: Number of calls preempted by a higher class.
        moved_tokens: Prefix tokens exported to or imported from the memory of the same host.
        report_age_s: Mean age of the chosen upstream's load report when it was chosen, in seconds.
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
    """A measure outside the bounds stated in the trace."""

    measure: str
    value: float
    lowest: float
    highest: float


def compute_measures(
    trace: Trace,
    policy: str,
    calls: Sequence[CompletedCall],
    programs: Sequence[FinishedProgram],
    preempted: int,
    moved_tokens: int,
) -> Measures:
    """Computes the measures of a replay from its completed calls and finished programs."""
    roots = [program for program in programs if not program.first_call.parent]
    done = [program for program in roots if program.status == "done"]
    arrived = {call.program for call in trace.calls if not call.parent}
    by_class = _latencies(done)
    classes = trace.header.classes
    front = min(classes, key=lambda name: classes[name])
    front_done = [program for program in done if program.first_call.class_name == front]
    call_time_s = {program.first_call.program: 0.0 for program in done}
    for completed in calls:
        if completed.call.program in call_time_s:
            call_time_s[completed.call.program] += completed.ended_s - completed.issued_s
    latencies = sorted(program.ended_s - program.arrived_s for program in done)
    window_s = max((call.at_s for call in trace.calls), default=0.0) or 1.0
    return Measures(
        policy,
        len(roots),
        len(done) / max(1, len(arrived)),
        sum(latencies) / max(1, len(latencies)),
        quantile(latencies, 0.5),
        quantile(latencies, 0.95),
        quantile(by_class.get(front, []), 0.95),
        sum(call_time_s.values()) / max(1, len(call_time_s)),
        quantile(sorted(call_time_s[program.first_call.program] for program in front_done), 0.95),
        {name: quantile(values, 0.95) for name, values in sorted(by_class.items())},
        _longest_calls(calls),
        sum(call.wasted_tokens for call in calls),
        _link_share(calls, trace.header.link_bytes_per_s),
        _tenant_share(calls, trace.header.tenants, window_s),
        sum(program.ended_s <= window_s for program in done) / window_s,
        sum(program.refusals for program in programs),
        preempted,
        moved_tokens,
    )


def check(outcomes: Mapping[str, tuple[float, float]], measures: Measures) -> list[Breach]:
    """Returns the measures that lie outside their bounds.

    Raises:
        KeyError: An outcome names a measure that does not exist.
    """
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
    """Returns a quantile of sorted values, or 0 if there are none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _latencies(done: Iterable[FinishedProgram]) -> dict[str, list[float]]:
    latencies = defaultdict(list)
    for program in done:
        latencies[program.first_call.class_name].append(program.ended_s - program.arrived_s)
    return {name: sorted(values) for name, values in latencies.items()}


def _longest_calls(calls: Iterable[CompletedCall]) -> dict[str, float]:
    longest: dict[str, float] = defaultdict(float)
    for completed in calls:
        name = completed.call.class_name
        longest[name] = max(longest[name], completed.ended_s - completed.issued_s)
    return dict(sorted(longest.items()))


def _link_share(calls: Iterable[CompletedCall], rate: float) -> float:
    windows: dict[tuple[str, int], int] = defaultdict(int)
    for completed in calls:
        windows[
            completed.call.region, int(completed.ended_s / LINK_WINDOW_S)
        ] += completed.link_bytes
    return max(windows.values(), default=0) / (rate * LINK_WINDOW_S)


def _tenant_share(
    calls: Iterable[CompletedCall], weights: Mapping[str, float], window_s: float
) -> float:
    # Calls issued in the last tenth of the window are not counted as demand, as they may not
    # complete within it.
    served: dict[str, float] = defaultdict(float)
    requested: dict[str, float] = defaultdict(float)
    for completed in calls:
        tokens = completed.call.new_tokens + completed.call.output_tokens
        if completed.issued_s <= 0.9 * window_s:
            requested[completed.call.tenant] += tokens
        if completed.ended_s <= window_s:
            served[completed.call.tenant] += tokens
    total = sum(served.values())
    total_weight = sum(weights.values())
    ratios = [
        served[tenant] / min(requested[tenant], total * weight / total_weight)
        for tenant, weight in weights.items()
        if requested[tenant] and total
    ]
    return min(ratios, default=1.0)
