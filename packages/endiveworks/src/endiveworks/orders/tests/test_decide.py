import random

from endiveworks.orders.decide import Action, Situation, Step, Wait, decide
from endiveworks.orders.state import (
    EngineState,
    Kind,
    Order,
    Wanted,
    describe,
    missing_orders,
)
from endiveworks.orders.tests.fake_site import EMPTY, Site
from hypothesis import given, settings
from hypothesis import strategies as st

WANTED = Wanted("m", "2", "prefill", ("gold",), 1)
EVENTS = (*("round",) * 12, "call", "end_call", "finish", "outage", "lose_order", "lose_answer")
STEPS = 150
SEEDS = st.integers(0, 2**32)


def random_steps(seed: int, *more: str) -> list[tuple[int, str]]:
    # Lists that hypothesis draws itself are too short to bring several replicas to an order.
    rng = random.Random(seed)
    return [(rng.randrange(3), rng.choice((*EVENTS, *more))) for _ in range(STEPS)]


def happen(site: Site, at: int, event: str) -> None:
    replica = site.replicas[at]
    if event == "call":
        replica.calls += replica.takes_calls()
    elif event == "end_call":
        replica.calls = max(0, replica.calls - 1)
    elif event == "finish":
        site.finish(replica)
    elif event == "outage":
        site.kv_up = not site.kv_up
    else:
        site.round(replica, event == "lose_order", event == "lose_answer")


def settle(site: Site) -> None:
    """Lets every call end, every load finish and every process take steps."""
    site.kv_up = True
    for _ in range(100):
        for replica in site.replicas:
            replica.calls = 0
            site.finish(replica)
            site.round(replica)


class TestEveryOrderOfEvents:
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(SEEDS, st.integers(1, 3), st.integers(1, 3))
    def test_replicas_serve_no_call_is_cut_off_and_the_store_is_not_overrun(
        self, seed: int, reloads: int, loads: int
    ) -> None:
        site = Site(3, WANTED, reloads, loads)
        for at, event in random_steps(seed):
            happen(site, at, event)
            assert sum(replica.takes_calls() for replica in site.replicas) >= WANTED.min_serving
            assert site.loading() <= loads
            assert site.cut_off == 0
        settle(site)
        for replica in site.replicas:
            assert missing_orders(WANTED, replica.engine) == ()
            assert len(replica.executed) == len(set(replica.executed)) == 3
            assert replica.takes_calls()
        assert site.slots == {}

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(SEEDS)
    def test_killed_processes_change_no_outcome(self, seed: int) -> None:
        site = Site(3, WANTED, reloads=1, loads=1)
        for at, event in random_steps(seed, "kill"):
            if event == "kill":
                site.restart(site.replicas[at])
            else:
                happen(site, at, event)
            assert site.cut_off == 0
        settle(site)
        for replica in site.replicas:
            assert missing_orders(WANTED, replica.engine) == ()
            assert len(replica.executed) == len(set(replica.executed)) == 3
        assert site.slots == {}


class TestObstacles:
    def situation(self, **fields: object) -> Situation:
        site = Site(2, WANTED, reloads=1, loads=1)
        return site.situation(site.replicas[0])._replace(**fields)

    def test_without_the_key_value_service_nothing_begins_and_the_engine_serves(self) -> None:
        for admitting, action in ((True, Action.NOTHING), (False, Action.ADMIT)):
            situation = self.situation(control=None, admitting=admitting)
            assert decide(situation) == Step(action, Wait.KEY_VALUE_SERVICE)

    def test_a_process_that_is_not_in_charge_gives_no_order(self) -> None:
        situation = self.situation()
        assert situation.control is not None
        control = situation.control._replace(in_charge=False)
        assert decide(situation._replace(control=control)).wait is Wait.SUPERSEDED
        assert decide(self.situation(guarded=False)).wait is Wait.GUARD
        assert decide(self.situation(settled_at_s=1.0)).wait is Wait.PREDECESSOR

    def test_too_few_other_replicas_keep_a_replica_serving(self) -> None:
        assert decide(self.situation(others=frozenset())).wait is Wait.OTHER_REPLICAS

    def test_a_refused_order_waits_and_the_replica_serves_meanwhile(self) -> None:
        tried = Order(Kind.VERSION, "2")
        situation = self.situation(tried=tried, doubtful=False, admitting=False)
        assert decide(situation) == Step(Action.ADMIT, Wait.RETRY)

    def test_an_order_of_unknown_outcome_is_not_repeated_while_it_may_take_effect(self) -> None:
        tried = Order(Kind.VERSION, "2")
        situation = self.situation(tried=tried, admitting=False)
        assert decide(situation) == Step(Action.NOTHING, Wait.OUTCOME)

    def test_an_engine_without_a_model_takes_no_calls(self) -> None:
        blank = EMPTY._replace(model="", version="")
        assert decide(self.situation(engine=blank)).action is Action.STOP_ADMITTING

    def test_a_service_without_wanted_state_gets_no_orders(self) -> None:
        assert decide(self.situation(wanted=None)).action is Action.NOTHING


class TestMissing:
    def test_adapters_come_after_the_model_that_drops_them(self) -> None:
        engine = EngineState("old", "1", "", (), "", 0)
        kinds = [order.kind for order in missing_orders(WANTED, engine)]
        assert kinds == [Kind.MODEL, Kind.VERSION, Kind.ROLE, Kind.ADAPTER]

    def test_what_is_not_wanted_by_name_stays(self) -> None:
        wanted = Wanted("m", "", "", (), 1)
        assert missing_orders(wanted, EMPTY._replace(role="decode", adapters=("a",))) == ()

    def test_description(self) -> None:
        assert describe("m", "2", "prefill", ("gold",)) == "m@2 prefill +gold"
