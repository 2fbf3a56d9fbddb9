import random

from endiveworks.orders.decide import Action, DecisionInput, Step, WaitReason, decide
from endiveworks.orders.state import (
    DesiredState,
    EngineState,
    Order,
    OrderKind,
    describe,
    missing_orders,
)
from endiveworks.orders.tests.simulated_service import INITIAL, SimulatedService
from hypothesis import given, settings
from hypothesis import strategies as st

DESIRED = DesiredState("m", "2", "prefill", ("gold",), 1)
EVENTS = (*("round",) * 12, "call", "end_call", "finish", "outage", "lose_order", "lose_reply")
STEPS = 150
SEEDS = st.integers(0, 2**32)


def random_steps(seed: int, *more: str) -> list[tuple[int, str]]:
    # Lists drawn by hypothesis are too short for several replicas to reach an order.
    rng = random.Random(seed)
    return [(rng.randrange(3), rng.choice((*EVENTS, *more))) for _ in range(STEPS)]


def apply_event(sim: SimulatedService, index: int, event: str) -> None:
    replica = sim.replicas[index]
    if event == "call":
        replica.calls += replica.serves_calls()
    elif event == "end_call":
        replica.calls = max(0, replica.calls - 1)
    elif event == "finish":
        sim.finish(replica)
    elif event == "outage":
        sim.kv_up = not sim.kv_up
    else:
        sim.run_round(replica, event == "lose_order", event == "lose_reply")


def run_to_completion(sim: SimulatedService) -> None:
    """Ends every call and load, and runs every process until it has nothing left to do."""
    sim.kv_up = True
    for _ in range(100):
        for replica in sim.replicas:
            replica.calls = 0
            sim.finish(replica)
            sim.run_round(replica)


class TestRandomEventSequences:
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(SEEDS, st.integers(1, 3), st.integers(1, 3))
    def test_replicas_serve_no_call_is_interrupted_and_concurrent_loads_are_limited(
        self, seed: int, reloads: int, loads: int
    ) -> None:
        sim = SimulatedService(3, DESIRED, reloads, loads)
        for index, event in random_steps(seed):
            apply_event(sim, index, event)
            assert sum(replica.serves_calls() for replica in sim.replicas) >= DESIRED.min_serving
            assert sim.loading() <= loads
            assert sim.interrupted_calls == 0
        run_to_completion(sim)
        for replica in sim.replicas:
            assert missing_orders(DESIRED, replica.engine) == ()
            assert len(replica.executed) == len(set(replica.executed)) == 3
            assert replica.serves_calls()
        assert sim.slots == {}

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(SEEDS)
    def test_killed_processes_do_not_change_the_outcome(self, seed: int) -> None:
        sim = SimulatedService(3, DESIRED, reloads=1, loads=1)
        for index, event in random_steps(seed, "kill"):
            if event == "kill":
                sim.restart(sim.replicas[index])
            else:
                apply_event(sim, index, event)
            assert sim.interrupted_calls == 0
        run_to_completion(sim)
        for replica in sim.replicas:
            assert missing_orders(DESIRED, replica.engine) == ()
            assert len(replica.executed) == len(set(replica.executed)) == 3
        assert sim.slots == {}


class TestBlockedOrders:
    def inputs(self, **fields: object) -> DecisionInput:
        sim = SimulatedService(2, DESIRED, reloads=1, loads=1)
        return sim.inputs(sim.replicas[0])._replace(**fields)

    def test_without_the_key_value_service_no_order_is_sent_and_the_engine_serves(self) -> None:
        for admitting, action in ((True, Action.NOTHING), (False, Action.ADMIT)):
            inputs = self.inputs(coordination=None, admitting=admitting)
            assert decide(inputs) == Step(action, WaitReason.KEY_VALUE_SERVICE)

    def test_a_process_that_is_not_registered_or_guarded_sends_no_order(self) -> None:
        inputs = self.inputs()
        assert inputs.coordination is not None
        coordination = inputs.coordination._replace(is_registered=False)
        assert decide(inputs._replace(coordination=coordination)).wait is WaitReason.SUPERSEDED
        assert decide(self.inputs(guarded=False)).wait is WaitReason.GUARD
        assert decide(self.inputs(predecessor_expired_at_s=1.0)).wait is WaitReason.PREDECESSOR

    def test_too_few_other_replicas_keep_a_replica_serving(self) -> None:
        assert decide(self.inputs(other_hosts=frozenset())).wait is WaitReason.OTHER_REPLICAS

    def test_a_refused_order_waits_and_the_replica_serves_meanwhile(self) -> None:
        last_order = Order(OrderKind.VERSION, "2")
        inputs = self.inputs(last_order=last_order, outcome_unknown=False, admitting=False)
        assert decide(inputs) == Step(Action.ADMIT, WaitReason.RETRY)

    def test_an_order_of_unknown_outcome_is_not_repeated_while_it_may_take_effect(self) -> None:
        last_order = Order(OrderKind.VERSION, "2")
        inputs = self.inputs(last_order=last_order, admitting=False)
        assert decide(inputs) == Step(Action.NOTHING, WaitReason.OUTCOME)

    def test_an_engine_without_a_model_takes_no_calls(self) -> None:
        blank = INITIAL._replace(model="", version="")
        assert decide(self.inputs(engine=blank)).action is Action.STOP_ADMITTING

    def test_a_service_without_desired_state_gets_no_orders(self) -> None:
        assert decide(self.inputs(desired=None)).action is Action.NOTHING


class TestMissingOrders:
    def test_adapters_come_after_the_model_that_drops_them(self) -> None:
        engine = EngineState("old", "1", "", (), "", 0)
        kinds = [order.kind for order in missing_orders(DESIRED, engine)]
        assert kinds == [OrderKind.MODEL, OrderKind.VERSION, OrderKind.ROLE, OrderKind.ADAPTER]

    def test_what_the_configuration_does_not_name_stays(self) -> None:
        desired = DesiredState("m", "", "", (), 1)
        assert missing_orders(desired, INITIAL._replace(role="decode", adapters=("a",))) == ()

    def test_description(self) -> None:
        assert describe("m", "2", "prefill", ("gold",)) == "m@2 prefill +gold"
