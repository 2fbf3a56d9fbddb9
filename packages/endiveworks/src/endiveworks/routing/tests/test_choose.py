import random

from endiveworks.config.bundle import CostWeights
from endiveworks.routing.choose import Call, Choice, Costs, Held, Replica, choose

COSTS = Costs(CostWeights(1.0, 0.0), 1_000.0, 0.02, 1e9, 1.9e6)


def pick(call: Call, *replicas: Replica, costs: Costs = COSTS) -> Choice:
    return choose(call, replicas, costs, 100.0, random.Random(1))


def call(held: Held | None = None, prompt_tokens: int = 1_000, bytes_across: int = 0) -> Call:
    return Call("east", prompt_tokens, bytes_across, held)


def replica(host: str, wait_s: float = 0.0, region: str = "east", **fields: float) -> Replica:
    return Replica(host, region, wait_s, fields.pop("reported_s", 100.0), **fields)


class TestPrefix:
    def test_sticks_until_the_wait_exceeds_the_recomputation(self) -> None:
        held = call(Held("a", 1_000))
        assert pick(held, replica("a", 0.9), replica("b")).host == "a"
        assert pick(held, replica("a", 1.1), replica("b")).host == "b"

    def test_weight_of_wasted_cache_makes_it_stick_for_longer(self) -> None:
        costs = COSTS._replace(weights=CostWeights(1.0, 5.0))
        held = call(Held("a", 1_000))
        assert pick(held, replica("a", 5.9), replica("b"), costs=costs).host == "a"
        assert pick(held, replica("a", 6.1), replica("b"), costs=costs).host == "b"

    def test_recomputation_counts_for_every_call_in_the_batch(self) -> None:
        held = call(Held("a", 1_000))
        assert pick(held, replica("a", 3.9), replica("b", running=3)).host == "a"
        assert pick(held, replica("a", 4.1), replica("b", running=3)).host == "b"

    def test_holder_is_considered_beyond_the_sample(self) -> None:
        many = [replica(f"r{at}", 0.5) for at in range(600)]
        assert pick(call(Held("r599", 1_000)), *many).host == "r599"


class TestLoad:
    def test_own_sends_count_before_the_report_shows_them(self) -> None:
        assert pick(call(), replica("a", unreported_s=2.0), replica("b", 1.0)).host == "b"

    def test_frozen_report_counts_as_a_usual_upstream(self) -> None:
        frozen = replica("idle", 0.0, reported_s=10.0, unreported_s=0.1)
        busy = [replica(f"r{at}", 2.0) for at in range(3)]
        assert pick(call(), frozen, *busy).host != "idle"

    def test_draining_upstream_gets_nothing(self) -> None:
        assert pick(call(), replica("a", draining=True)).host == ""


class TestLink:
    def test_crosses_only_where_it_saves_more_than_the_way(self) -> None:
        west = replica("w", 0.0, "west")
        assert pick(call(), replica("a", 0.03), west).host == "a"
        assert pick(call(), replica("a", 0.05), west).host == "w"

    def test_never_crosses_above_the_budget(self) -> None:
        costs = COSTS._replace(link_bytes_left=100.0)
        west = replica("w", 0.0, "west")
        assert pick(call(bytes_across=101), replica("a", 60.0), west, costs=costs).host == "a"
