import math

from endiveworks.cache.decide import Action, Memory, decide
from endiveworks.cache.pauses import BUCKETS, Pauses, add, quantile_s
from hypothesis import given, settings
from hypothesis import strategies as st

MEMORY = Memory(idle_s=20.0, prefill_tokens_per_s=1_000.0, transfer_tokens_per_s=50_000.0)


def seen(*pauses_s: float) -> Pauses:
    pauses = Pauses()
    for pause_s in pauses_s:
        pauses = add(pauses, pause_s)
    return pauses


class TestPauses:
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.floats(0.001, 10_000.0), min_size=1, max_size=600))
    def test_quantile_is_no_less_than_the_pauses_it_covers(self, pauses_s: list[float]) -> None:
        pauses = seen(*pauses_s)
        assert len(pauses.counts) == BUCKETS
        assert quantile_s(pauses, 1.0) >= max(pauses_s[-100:])

    def test_rest_of_a_long_pause_leaves_out_the_short_ones(self) -> None:
        pauses = seen(*[1.0] * 9, 100.0)
        assert quantile_s(pauses, 0.5) < 2.0
        assert quantile_s(pauses, 0.5, elapsed_s=10.0) > 100.0
        assert math.isinf(quantile_s(pauses, 0.5, elapsed_s=1_000.0))


class TestDecision:
    def test_soon_returning_prefix_stays(self) -> None:
        assert decide(seen(*[2.0] * 10), 5_000, MEMORY).action is Action.KEEP

    def test_long_pause_is_exported(self) -> None:
        assert decide(seen(*[60.0] * 10), 5_000, MEMORY).action is Action.EXPORT

    def test_long_pause_is_dropped_where_export_costs_more(self) -> None:
        slow = MEMORY._replace(transfer_tokens_per_s=1_500.0)
        assert decide(seen(*[60.0] * 10), 5_000, slow).action is Action.DROP

    def test_no_pressure_keeps_all(self) -> None:
        calm = MEMORY._replace(idle_s=math.inf)
        assert decide(seen(*[600.0] * 10), 5_000, calm).action is Action.KEEP

    def test_unknown_tool_is_given_a_usual_pause(self) -> None:
        assert decide(Pauses(), 5_000, MEMORY).action is Action.KEEP
