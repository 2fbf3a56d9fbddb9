import random

from endiveworks.config.bundle import CostWeights
from endiveworks.routing.upstream_choice import (
    CachedPrefix,
    Choice,
    CostModel,
    RoutingRequest,
    UpstreamState,
    choose_upstream,
)

COSTS = CostModel(CostWeights(1.0, 0.0), 1_000.0, 0.02, 1e9, 1.9e6)


def choose_from(call: RoutingRequest, *replicas: UpstreamState, costs: CostModel = COSTS) -> Choice:
    return choose_upstream(call, replicas, costs, 100.0, random.Random(1))


def call(
    cached_prefix: CachedPrefix | None = None, prompt_tokens: int = 1_000, link_bytes: int = 0
) -> RoutingRequest:
    return RoutingRequest("east", prompt_tokens, link_bytes, cached_prefix)


def replica(host: str, wait_s: float = 0.0, region: str = "east", **fields: float) -> UpstreamState:
    return UpstreamState(host, region, wait_s, fields.pop("reported_at_s", 100.0), **fields)


class TestPrefix:
    def test_caching_upstream_is_kept_until_its_wait_exceeds_the_recomputation(self) -> None:
        request = call(CachedPrefix("a", 1_000))
        assert choose_from(request, replica("a", 0.9), replica("b")).host == "a"
        assert choose_from(request, replica("a", 1.1), replica("b")).host == "b"

    def test_weight_of_wasted_cache_keeps_the_caching_upstream_for_longer(self) -> None:
        costs = COSTS._replace(weights=CostWeights(1.0, 5.0))
        request = call(CachedPrefix("a", 1_000))
        assert choose_from(request, replica("a", 5.9), replica("b"), costs=costs).host == "a"
        assert choose_from(request, replica("a", 6.1), replica("b"), costs=costs).host == "b"

    def test_recomputation_is_charged_for_every_call_in_the_batch(self) -> None:
        request = call(CachedPrefix("a", 1_000))
        assert choose_from(request, replica("a", 3.9), replica("b", running=3)).host == "a"
        assert choose_from(request, replica("a", 4.1), replica("b", running=3)).host == "b"

    def test_caching_upstream_is_considered_outside_the_sample(self) -> None:
        many = [replica(f"r{index}", 0.5) for index in range(600)]
        assert choose_from(call(CachedPrefix("r599", 1_000)), *many).host == "r599"


class TestLoad:
    def test_calls_sent_since_the_report_add_to_the_wait(self) -> None:
        assert (
            choose_from(call(), replica("a", unreported_wait_s=2.0), replica("b", 1.0)).host == "b"
        )

    def test_wait_of_an_outdated_report_is_at_least_the_median(self) -> None:
        frozen = replica("idle", 0.0, reported_at_s=10.0, unreported_wait_s=0.1)
        busy = [replica(f"r{index}", 2.0) for index in range(3)]
        assert choose_from(call(), frozen, *busy).host != "idle"

    def test_draining_upstream_is_not_chosen(self) -> None:
        assert choose_from(call(), replica("a", draining=True)).host == ""


class TestLink:
    def test_other_region_is_chosen_only_if_it_saves_more_than_the_link_delay(self) -> None:
        west = replica("w", 0.0, "west")
        assert choose_from(call(), replica("a", 0.03), west).host == "a"
        assert choose_from(call(), replica("a", 0.05), west).host == "w"

    def test_other_region_is_not_chosen_beyond_the_link_budget(self) -> None:
        costs = COSTS._replace(link_budget_bytes=100.0)
        west = replica("w", 0.0, "west")
        assert choose_from(call(link_bytes=101), replica("a", 60.0), west, costs=costs).host == "a"
