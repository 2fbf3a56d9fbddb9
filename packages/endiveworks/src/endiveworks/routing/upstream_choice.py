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
# Caps the age given as a reason, which is infinite before the first report.
MAX_REASON_AGE_S = 3_600.0
TOKENS_PER_WASTE_UNIT = 1_000


class UpstreamState(NamedTuple):
    """State of an upstream as last reported to this process.

    Attributes:
        host: Host name of its process.
        region: Its region.
        wait_s: Wait of a new call as predicted from its last load report.
        reported_at_s: Time of that report, in seconds.
        unreported_wait_s: Expected wait added by calls that this process sent after that report.
        running: Number of calls running in its engine.
        draining: Whether it is draining and accepts no new calls.
    """

    host: str
    region: str
    wait_s: float
    reported_at_s: float
    unreported_wait_s: float = 0.0
    running: int = 0
    draining: bool = False


class CachedPrefix(NamedTuple):
    """The prefix that an upstream is expected to have cached for the program."""

    host: str
    tokens: int


class RoutingRequest(NamedTuple):
    """A call to be routed.

    Attributes:
        region: Region of the caller.
        prompt_tokens: Length of the whole prompt, in tokens.
        link_bytes: Bytes sent over the inter-region link if the call runs in another region.
        cached_prefix: Its cached prefix; None if no upstream has one.
    """

    region: str
    prompt_tokens: int
    link_bytes: int
    cached_prefix: CachedPrefix | None


class CostModel(NamedTuple):
    """Parameters of the cost function.

    Attributes:
        weights: Weights of latency and wasted cache, from the service configuration.
        prefill_tokens_per_s: Prefill rate of an upstream, in tokens per second.
        link_delay_s: One-way delay between regions, in seconds.
        link_budget_bytes: Bytes that remain in the link's budget.
        link_bytes_per_s: Bandwidth of the link, in bytes per second.
    """

    weights: CostWeights
    prefill_tokens_per_s: float
    link_delay_s: float
    link_budget_bytes: float
    link_bytes_per_s: float


class Choice(NamedTuple):
    """The chosen upstream, its cost and the reasons; host is empty if none is available."""

    host: str
    cost: float
    reasons: Reasons


class _Scored(NamedTuple):
    cost: float
    position: int
    upstream: UpstreamState
    wait_s: float
    recomputed_tokens: int


def estimate_wait_s(cost_ahead_s: float, running: int, slots: float, cost_s: float) -> float:
    """Predicts the wait of a new call from the load of an upstream, in seconds.

    Args:
        cost_ahead_s: Total expected service time of the queued calls ahead of it, in seconds.
        running: Number of running calls; their weight grows with the fraction of slots in use.
        slots: Maximum number of concurrent calls.
        cost_s: Expected service time of one call, in seconds.
    """
    running_cost_s = min(1.0, running / slots) * running * cost_s / 2
    return (cost_ahead_s + running_cost_s) / slots


def choose_upstream(
    call: RoutingRequest,
    upstreams: Sequence[UpstreamState],
    costs: CostModel,
    now_s: float,
    rng: random.Random,
) -> Choice:
    """Chooses the cheapest upstream among a random sample and the one that caches the prefix."""
    candidates = _candidates(call, upstreams, rng)
    median_wait_s = _median_wait_s(candidates, now_s)
    scored = [
        _score(call, costs, position, upstream, _wait_s(upstream, median_wait_s, now_s))
        for position, upstream in enumerate(candidates)
        if not _crosses_regions(call, upstream) or call.link_bytes <= costs.link_budget_bytes
    ]
    if not scored:
        return Choice("", 0.0, (Reason("candidates", 0.0),))
    best = min(scored)
    reasons = (
        Reason("wait_s", best.wait_s, best.upstream.host),
        Reason(
            "report_age_s",
            min(MAX_REASON_AGE_S, now_s - best.upstream.reported_at_s),
            best.upstream.host,
        ),
        Reason("recomputed_tokens", best.recomputed_tokens, best.upstream.host),
        Reason(
            "crosses_regions", float(_crosses_regions(call, best.upstream)), best.upstream.region
        ),
        Reason("candidates", len(scored)),
        *_cached_wait_reason(call, scored),
    )
    return Choice(best.upstream.host, best.cost, reasons)


def _candidates(
    call: RoutingRequest, upstreams: Sequence[UpstreamState], rng: random.Random
) -> Sequence[UpstreamState]:
    if len(upstreams) > SAMPLE_SIZE:
        sampled = rng.sample(upstreams, SAMPLE_SIZE)
        cached_prefix = call.cached_prefix
        if cached_prefix is not None and all(
            upstream.host != cached_prefix.host for upstream in sampled
        ):
            sampled += [upstream for upstream in upstreams if upstream.host == cached_prefix.host]
        upstreams = sampled
    return [upstream for upstream in upstreams if not upstream.draining]


def _median_wait_s(upstreams: Sequence[UpstreamState], now_s: float) -> float:
    fresh_waits_s = sorted(r.wait_s for r in upstreams if now_s - r.reported_at_s <= STALE_REPORT_S)
    return fresh_waits_s[len(fresh_waits_s) // 2] if fresh_waits_s else 0.0


def _wait_s(upstream: UpstreamState, median_wait_s: float, now_s: float) -> float:
    # An outdated report is not trusted: the wait is taken to be at least the median.
    stale = now_s - upstream.reported_at_s > STALE_REPORT_S
    reported_wait_s = max(upstream.wait_s, median_wait_s) if stale else upstream.wait_s
    return reported_wait_s + upstream.unreported_wait_s


def _crosses_regions(call: RoutingRequest, upstream: UpstreamState) -> bool:
    return upstream.region != call.region


def _score(
    call: RoutingRequest, costs: CostModel, position: int, upstream: UpstreamState, wait_s: float
) -> _Scored:
    cached_prefix = call.cached_prefix
    cached_tokens = (
        cached_prefix.tokens
        if cached_prefix is not None and cached_prefix.host == upstream.host
        else 0
    )
    prefill_tokens = call.prompt_tokens - cached_tokens
    recomputed_tokens = (cached_prefix.tokens if cached_prefix is not None else 0) - cached_tokens
    # Recomputing a prefix delays every call in the batch, not only this one.
    batch_delay_s = upstream.running * recomputed_tokens / costs.prefill_tokens_per_s
    latency_s = wait_s + batch_delay_s + prefill_tokens / costs.prefill_tokens_per_s
    if _crosses_regions(call, upstream):
        latency_s += 2 * costs.link_delay_s + call.link_bytes / costs.link_bytes_per_s
    wasted_kilotokens = recomputed_tokens / TOKENS_PER_WASTE_UNIT
    cost = costs.weights.latency * latency_s + costs.weights.wasted_cache * wasted_kilotokens
    return _Scored(cost, position, upstream, wait_s, recomputed_tokens)


def _cached_wait_reason(call: RoutingRequest, scored: Sequence[_Scored]) -> Reasons:
    cached_prefix = call.cached_prefix
    if cached_prefix is None:
        return ()
    return tuple(
        Reason("holder_wait_s", s.wait_s, cached_prefix.host)
        for s in scored
        if s.upstream.host == cached_prefix.host
    )
