"""Choice of the upstream for a call: held prefix, wait, own sends, region and link."""

import random
from collections.abc import Sequence
from typing import NamedTuple

from ..config.bundle import CostWeights
from ..reasons import Reason, Reasons

SAMPLE = 16
STALE_REPORT_S = 5.0
LONGEST_AGE_S = 3_600.0
TOKENS_PER_WASTE_UNIT = 1_000


class Replica(NamedTuple):
    """What is known of an upstream.

    Attributes:
        host: Name of the process beside it.
        region: Its region.
        wait_s: Wait that its last report predicts for a new call.
        reported_s: Time at which that report was true.
        unreported_s: Expected wait added by own sends that the report can't show yet.
        running: Calls that its engine runs.
        draining: Whether it is leaving.
    """

    host: str
    region: str
    wait_s: float
    reported_s: float
    unreported_s: float = 0.0
    running: int = 0
    draining: bool = False


class Held(NamedTuple):
    """The prefix that an upstream is believed to hold for the program."""

    host: str
    tokens: int


class Call(NamedTuple):
    """What routing must know of a call.

    Attributes:
        region: Region of the caller.
        prompt_tokens: Length of the whole prompt.
        bytes_across: Bytes that cross the link if the call runs in another region.
        held: Where its prefix is; None when nowhere.
    """

    region: str
    prompt_tokens: int
    bytes_across: int
    held: Held | None


class Costs(NamedTuple):
    """Prices of the choice.

    Attributes:
        weights: Weights of latency and wasted cache from the service's file.
        prefill_tokens_per_s: Prompt tokens that an upstream computes in a second.
        link_delay_s: One-way delay between regions.
        link_bytes_left: Bytes that the link's budget still allows now.
        link_bytes_per_s: Rate of the link.
    """

    weights: CostWeights
    prefill_tokens_per_s: float
    link_delay_s: float
    link_bytes_left: float
    link_bytes_per_s: float


class Choice(NamedTuple):
    """The upstream chosen and the reasons; host is empty when there is none."""

    host: str
    cost: float
    reasons: Reasons


class _Scored(NamedTuple):
    cost: float
    at: int
    replica: Replica
    wait_s: float
    recomputed_tokens: int


def wait_of_load(ahead_s: float, running: int, slots: float, cost_s: float) -> float:
    """Returns the wait that an upstream's load predicts for a new call.

    Args:
        ahead_s: Expected cost of the queued calls that go before it.
        running: Calls that run; they count the more, the fewer slots are free.
        slots: Calls that run at once, at most.
        cost_s: Expected cost of one call.
    """
    running_s = min(1.0, running / slots) * running * cost_s / 2
    return (ahead_s + running_s) / slots


def choose(
    call: Call, replicas: Sequence[Replica], costs: Costs, now_s: float, source: random.Random
) -> Choice:
    """Chooses the upstream of least cost among the holder of the prefix and a sample."""
    candidates = _candidates(call, replicas, source)
    floor_s = _fleet_wait_s(candidates, now_s)
    scored = [
        _score(call, costs, at, replica, _wait_s(replica, floor_s, now_s))
        for at, replica in enumerate(candidates)
        if not _crosses(call, replica) or call.bytes_across <= costs.link_bytes_left
    ]
    if not scored:
        return Choice("", 0.0, (Reason("candidates", 0.0),))
    best = min(scored)
    reasons = (
        Reason("wait_s", best.wait_s, best.replica.host),
        Reason(
            "report_age_s", min(LONGEST_AGE_S, now_s - best.replica.reported_s), best.replica.host
        ),
        Reason("recomputed_tokens", best.recomputed_tokens, best.replica.host),
        Reason("crosses_regions", float(_crosses(call, best.replica)), best.replica.region),
        Reason("candidates", len(scored)),
        *_holder_reason(call, scored),
    )
    return Choice(best.replica.host, best.cost, reasons)


def _candidates(
    call: Call, replicas: Sequence[Replica], source: random.Random
) -> Sequence[Replica]:
    if len(replicas) > SAMPLE:
        sampled = source.sample(replicas, SAMPLE)
        held = call.held
        if held is not None and all(replica.host != held.host for replica in sampled):
            sampled += [replica for replica in replicas if replica.host == held.host]
        replicas = sampled
    return [replica for replica in replicas if not replica.draining]


def _fleet_wait_s(replicas: Sequence[Replica], now_s: float) -> float:
    fresh = sorted(r.wait_s for r in replicas if now_s - r.reported_s <= STALE_REPORT_S)
    return fresh[len(fresh) // 2] if fresh else 0.0


def _wait_s(replica: Replica, floor_s: float, now_s: float) -> float:
    # A report that no longer changes says nothing: such an upstream counts as a usual one.
    stale = now_s - replica.reported_s > STALE_REPORT_S
    reported_s = max(replica.wait_s, floor_s) if stale else replica.wait_s
    return reported_s + replica.unreported_s


def _crosses(call: Call, replica: Replica) -> bool:
    return replica.region != call.region


def _score(call: Call, costs: Costs, at: int, replica: Replica, wait_s: float) -> _Scored:
    held = call.held
    held_here = held.tokens if held is not None and held.host == replica.host else 0
    computed = call.prompt_tokens - held_here
    recomputed = (held.tokens if held is not None else 0) - held_here
    # Computing a prefix again holds up every call in the batch, not this one alone.
    others_s = replica.running * recomputed / costs.prefill_tokens_per_s
    latency_s = wait_s + others_s + computed / costs.prefill_tokens_per_s
    if _crosses(call, replica):
        latency_s += 2 * costs.link_delay_s + call.bytes_across / costs.link_bytes_per_s
    wasted = recomputed / TOKENS_PER_WASTE_UNIT
    cost = costs.weights.latency * latency_s + costs.weights.wasted_cache * wasted
    return _Scored(cost, at, replica, wait_s, recomputed)


def _holder_reason(call: Call, scored: Sequence[_Scored]) -> Reasons:
    held = call.held
    if held is None:
        return ()
    return tuple(
        Reason("holder_wait_s", s.wait_s, held.host) for s in scored if s.replica.host == held.host
    )
