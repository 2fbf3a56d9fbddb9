from endiveworks.admission.queue import (
    FairQueue,
    QueueConfig,
    QueuedCall,
    attained_level,
    charge,
    cost_ahead_s,
    dequeue,
    enqueue,
    remove,
)
from hypothesis import given, settings
from hypothesis import strategies as st


def call(key: str, tenant: str = "t", priority: int = 0, **fields: float) -> QueuedCall:
    defaults = {"weight": 1.0, "attained_tokens": 0, "cost_s": 1.0, "arrived_s": 0.0}
    return QueuedCall(key=key, tenant=tenant, priority=priority, **{**defaults, **fields})


def drain(queue: FairQueue, now_s: float = 0.0) -> list[str]:
    keys = []
    while (taken := dequeue(queue, now_s)) is not None:
        keys.append(taken.call.key)
    return keys


calls = st.lists(
    st.tuples(
        st.sampled_from("abc"), st.integers(0, 2), st.integers(0, 10**6), st.floats(0.1, 5.0)
    ),
    max_size=40,
)


class TestOrder:
    def test_lower_priority_number_is_served_first(self) -> None:
        queue = FairQueue(QueueConfig())
        enqueue(queue, call("lookup", priority=1))
        enqueue(queue, call("certificate", priority=0))
        assert drain(queue) == ["certificate", "lookup"]

    def test_least_attained_service_is_served_first_until_an_older_call_has_aged(self) -> None:
        queue = FairQueue(QueueConfig(level_penalty_s=10.0))
        old = call("old", attained_tokens=10_000, arrived_s=0.0)
        gap_s = 10.0 * attained_level(10_000)
        enqueue(queue, old)
        enqueue(queue, call("soon", arrived_s=gap_s - 1))
        enqueue(queue, call("late", arrived_s=gap_s + 1))
        assert drain(queue) == ["soon", "old", "late"]

    def test_starved_class_is_served(self) -> None:
        queue = FairQueue(QueueConfig(max_starvation_s=5.0))
        enqueue(queue, call("low", priority=1))
        for index in range(8):
            enqueue(queue, call(f"high{index}", priority=0))
        order = [taken.call.key for now in range(8) if (taken := dequeue(queue, float(now)))]
        assert order.index("low") == 5

    def test_tenants_are_served_in_proportion_to_their_weights(self) -> None:
        queue = FairQueue(QueueConfig())
        for index in range(30):
            enqueue(queue, call(f"big{index}", "big", weight=2.0))
            enqueue(queue, call(f"small{index}", "small", weight=1.0))
        served_first = drain(queue)[:30]
        assert sum(key.startswith("big") for key in served_first) == 20

    def test_idle_tenant_accumulates_no_credit(self) -> None:
        queue = FairQueue(QueueConfig())
        for index in range(10):
            enqueue(queue, call(f"busy{index}", "busy"))
        for _ in range(6):
            dequeue(queue, 0.0)
        for index in range(4):
            enqueue(queue, call(f"new{index}", "new"))
        served_first = drain(queue)[:4]
        assert sum(key.startswith("new") for key in served_first) <= 3

    def test_service_beyond_the_expected_cost_is_charged(self) -> None:
        queue = FairQueue(QueueConfig())
        for index in range(4):
            enqueue(queue, call(f"a{index}", "a"))
            enqueue(queue, call(f"b{index}", "b"))
        charge(queue, "a", 1.0, 2.5)
        assert drain(queue)[:3] == ["b0", "b1", "b2"]


class TestLimits:
    def test_limit_applies_to_each_tenant_and_class_separately(self) -> None:
        queue = FairQueue(QueueConfig(max_waiting=1))
        assert enqueue(queue, call("a", "t"))
        assert not enqueue(queue, call("b", "t"))
        assert enqueue(queue, call("c", "other"))
        assert enqueue(queue, call("d", "t", priority=1))

    def test_key_is_not_queued_twice(self) -> None:
        queue = FairQueue(QueueConfig())
        assert enqueue(queue, call("a"))
        assert not enqueue(queue, call("a"))


class TestInvariants:
    @settings(derandomize=True, deadline=None)
    @given(calls, st.sets(st.integers(0, 39)))
    def test_every_call_is_removed_exactly_once(
        self, offered: list[tuple[str, int, int, float]], removed: set[int]
    ) -> None:
        queue = FairQueue(QueueConfig())
        for index, (tenant, priority, attained, cost_s) in enumerate(offered):
            fields = {"attained_tokens": attained, "cost_s": cost_s, "arrived_s": float(index)}
            enqueue(queue, call(str(index), tenant, priority, **fields))
        removed_keys = [key for key in map(str, removed) if remove(queue, key) is not None]
        drained_keys = drain(queue, 100.0)
        assert sorted(removed_keys + drained_keys) == sorted(map(str, range(len(offered))))
        assert abs(cost_ahead_s(queue, 2)) < 1e-6
        assert not any(queue.waiting_counts.values())

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.floats(0.1, 3.0), min_size=40, max_size=80))
    def test_backlogged_tenants_stay_within_one_call_of_their_share(
        self, costs: list[float]
    ) -> None:
        queue = FairQueue(QueueConfig())
        for index, cost_s in enumerate(costs):
            for tenant, weight in (("a", 1.0), ("b", 3.0)):
                enqueue(queue, call(f"{tenant}{index}", tenant, weight=weight, cost_s=cost_s))
        served = {"a": 0.0, "b": 0.0}
        for _ in range(len(costs) // 2):
            taken = dequeue(queue, 0.0)
            assert taken is not None
            served[taken.call.tenant] += taken.call.cost_s / taken.call.weight
        assert abs(served["a"] - served["b"]) <= 3.0
