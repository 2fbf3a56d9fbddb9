"""Selects the upstream of least cost for a call.

The cost covers the expected wait, including calls sent since the last load report, the
recomputation of prefixes that are cached elsewhere, and the link between regions.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple

from ..config.bundle import CostWeights
from ..reasons import Reason, Reasons

SAMPLE_SIZE = 16
STALE_REPORT_S = 5.0
MAX_REASON_AGE_S = 3_600.0
TOKENS_PER_WASTE_UNIT = 1_000


class Replica(NamedTuple):
    """State of an upstream as last reported to this process.

    Attributes:
        host: Host name of its process.
        region: Its region.
        wait_s: Wait of a new call as predicted from its last load report.
        reported_s: Time of that report, in seconds.
        unreported_s: Expected wait added by calls that this process has sent since that report.
        running: Number of calls running in its engine.
        draining: Whether it is draining and accepts no new calls.
    """

    host: str
    region: str
    wait_s: float
    reported_s: float
    unreported_s: float = 0.0
    running: int = 0
    draining: bool = False


class Held(NamedTuple):
    """The prefix that an upstream is expected to have cached for the program."""

    host: str
    tokens: int


class Call(NamedTuple):
    """A call to be routed.

    Attributes:
        region: Region of the caller.
        prompt_tokens: Length of the whole prompt, in tokens.
        bytes_across: Bytes sent over the inter-region link if the call runs in another region.
        held: Its cached prefix; None if no upstream has one.
    """

    region: str
    prompt_tokens: int
    bytes_across: int
    held: Held | None


class Costs(NamedTuple):
    """Parameters of the cost function.

    Attributes:
        weights: Weights of latency and wasted_kilotokens cache, from the service configuration.
        prefill_tokens_per_s: Prefill rate of an upstream, in tokens per second.
        link_delay_s: One-way delay between regions, in seconds.
        link_bytes_left: Bytes that remain in the link's budget.
        link_bytes_per_s: Bandwidth of the link, in bytes per second.
    """

    weights: CostWeights
    prefill_tokens_per_s: float
    link_delay_s: float
    link_bytes_left: float
    link_bytes_per_s: float


class Choice(NamedTuple):
    """The chosen upstream, its cost and the reasons; host is empty if none is available."""

    host: str
    cost: float
    reasons: Reasons


class _Scored(NamedTuple):
    cost: float
    position: int
    replica: Replica
    wait_s: float
    recomputed_tokens: int


def wait_of_load(cost_ahead_s: float, running: int, slots: float, cost_s: float) -> float:
    """Predicts the wait of a new call from the load of an upstream, in seconds.

    Args:
        cost_ahead_s: Total expected service time of the queued calls ahead of it, in seconds.
        running: Number of running calls; their weight grows with the fraction of slots in use.
        slots: Maximum number of concurrent calls.
        cost_s: Expected service time of one call, in seconds.
    """
    running_cost_s = min(1.0, running / slots) * running * cost_s / 2
    return (cost_ahead_s + running_cost_s) / slots


def choose(
    call: Call, replicas: Sequence[Replica], costs: Costs, now_s: float, rng: random.Random
) -> Choice:
    """Chooses the cheapest upstream among a random sample and the one that caches the prefix."""
    candidates = _candidates(call, replicas, rng)
    median_wait_s = _median_wait_s(candidates, now_s)
    scored = [
        _score(call, costs, position, replica, _wait_s(replica, median_wait_s, now_s))
        for position, replica in enumerate(candidates)
        if not _crosses_regions(call, replica) or call.bytes_across <= costs.link_bytes_left
    ]
    if not scored:
        return Choice("", 0.0, (Reason("candidates", 0.0),))
    best = min(scored)
    reasons = (
        Reason("wait_s", best.wait_s, best.replica.host),
        Reason(
            "report_age_s",
            min(MAX_REASON_AGE_S, now_s - best.replica.reported_s),
            best.replica.host,
        ),
        Reason("recomputed_tokens", best.recomputed_tokens, best.replica.host),
        Reason("crosses_regions", float(_crosses_regions(call, best.replica)), best.replica.region),
        Reason("candidates", len(scored)),
        *_cached_wait_reason(call, scored),
    )
    return Choice(best.replica.host, best.cost, reasons)


def _candidates(call: Call, replicas: Sequence[Replica], rng: random.Random) -> Sequence[Replica]:
    if len(replicas) > SAMPLE_SIZE:
        sampled = rng.sample(replicas, SAMPLE_SIZE)
        held = call.held
        if held is not None and all(replica.host != held.host for replica in sampled):
            sampled += [replica for replica in replicas if replica.host == held.host]
        replicas = sampled
    return [replica for replica in replicas if not replica.draining]


def _median_wait_s(replicas: Sequence[Replica], now_s: float) -> float:
    fresh_waits_s = sorted(r.wait_s for r in replicas if now_s - r.reported_s <= STALE_REPORT_S)
    return fresh_waits_s[len(fresh_waits_s) // 2] if fresh_waits_s else 0.0


def _wait_s(replica: Replica, median_wait_s: float, now_s: float) -> float:
    # An outdated report is not trusted: the wait is taken to be at least the median.
    stale = now_s - replica.reported_s > STALE_REPORT_S
    reported_wait_s = max(replica.wait_s, median_wait_s) if stale else replica.wait_s
    return reported_wait_s + replica.unreported_s


def _crosses_regions(call: Call, replica: Replica) -> bool:
    return replica.region != call.region


def _score(call: Call, costs: Costs, position: int, replica: Replica, wait_s: float) -> _Scored:
    held = call.held
    cached_tokens = held.tokens if held is not None and held.host == replica.host else 0
    prefill_tokens = call.prompt_tokens - cached_tokens
    recomputed_tokens = (held.tokens if held is not None else 0) - cached_tokens
    # Recomputing a prefix delays every call in the batch, not only this one.
    batch_delay_s = replica.running * recomputed_tokens / costs.prefill_tokens_per_s
    latency_s = wait_s + batch_delay_s + prefill_tokens / costs.prefill_tokens_per_s
    if _crosses_regions(call, replica):
        latency_s += 2 * costs.link_delay_s + call.bytes_across / costs.link_bytes_per_s
    wasted_kilotokens = recomputed_tokens / TOKENS_PER_WASTE_UNIT
    cost = costs.weights.latency * latency_s + costs.weights.wasted_cache * wasted_kilotokens
    return _Scored(cost, position, replica, wait_s, recomputed_tokens)


def _cached_wait_reason(call: Call, scored: Sequence[_Scored]) -> Reasons:
    held = call.held
    if held is None:
        return ()
    return tuple(
        Reason("holder_wait_s", s.wait_s, held.host) for s in scored if s.replica.host == held.host
    )
