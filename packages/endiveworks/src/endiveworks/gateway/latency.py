"""Mean latency of each replica, measured on its responses; detects slow replicas without probes."""

import statistics
from collections.abc import Sequence
from typing import NamedTuple

RESPONSE_WEIGHT = 0.2  # Weight of the latest whole response in the moving average.
# Weight of the latest event of a stream. A response has about a dozen events, which together weigh
# a little more than RESPONSE_WEIGHT.
EVENT_WEIGHT = 0.08
# Half-life of the measured slowdown of a replica that receives no requests, so that it is tried
# again.
SLOWDOWN_HALF_LIFE_S = 3.0
MIN_SLOWDOWN_FACTOR = 1.5  # Smaller differences come from the requests, not the replica.
MAX_SLOWDOWN_FACTOR = 10.0  # Higher ratios count as this one.


class MeanLatency(NamedTuple):
    """Moving average of the time per unit of work (a response or an event) at a replica.

    Attributes:
        mean_s: The average; 0 before the first sample.
        updated_s: Monotonic time of the latest sample.
    """

    mean_s: float = 0.0
    updated_s: float = 0.0


def record_sample(
    latency: MeanLatency, took_s: float, now_s: float, weight: float = RESPONSE_WEIGHT
) -> MeanLatency:
    """Returns the average after a sample of one unit of work."""
    mean_s = latency.mean_s + weight * (took_s - latency.mean_s) if latency.mean_s else took_s
    return MeanLatency(mean_s, now_s)


def record_events(latency: MeanLatency, took_s: float, count: int, now_s: float) -> MeanLatency:
    """Returns the average after several events that arrived together.

    Args:
        latency: The average so far.
        took_s: Time since the previous events.
        count: Events that arrived.
        now_s: Monotonic time.
    """
    weight = 1.0 - (1.0 - EVENT_WEIGHT) ** count
    return record_sample(latency, took_s / count, now_s, weight)


def typical_mean_s(latencies: Sequence[MeanLatency]) -> float:
    """Returns the median of the mean latencies of a service's replicas; 0 if fewer than two."""
    means = [latency.mean_s for latency in latencies if latency.mean_s]
    # The lower median, so that the slower of two replicas is detected.
    return statistics.median_low(means) if len(means) > 1 else 0.0


def slowdown(latency: MeanLatency, typical_s: float, now_s: float) -> float:
    """Returns a replica's latency relative to the typical one of its service; 1 when not slow.

    Args:
        latency: The replica's mean latency.
        typical_s: Result of typical_mean_s for the replicas of its service.
        now_s: Monotonic time; the older the latest sample, the less it counts.
    """
    if not latency.mean_s or not typical_s:
        return 1.0
    ratio = latency.mean_s / max(1e-6, typical_s)
    if ratio < MIN_SLOWDOWN_FACTOR:
        return 1.0
    decay = 0.5 ** ((now_s - latency.updated_s) / SLOWDOWN_HALF_LIFE_S)
    return 1.0 + (min(ratio, MAX_SLOWDOWN_FACTOR) - 1.0) * decay
