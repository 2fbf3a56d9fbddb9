import math

from endiveworks.cache.eviction import (
    Action,
    IdlePrefix,
    TokenRates,
    choose_evictions,
    expected_return_s,
)
from endiveworks.cache.pauses import BUCKET_COUNT, PauseHistogram, add_pause, quantile_s
from hypothesis import given, settings
from hypothesis import strategies as st

RATES = TokenRates(prefill_tokens_per_s=1_000.0, transfer_tokens_per_s=50_000.0)


def histogram(*pauses_s: float) -> PauseHistogram:
    pauses = PauseHistogram()
    for pause_s in pauses_s:
        pauses = add_pause(pauses, pause_s)
    return pauses


class TestPauses:
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.floats(0.001, 10_000.0), min_size=1, max_size=600))
    def test_quantile_is_no_less_than_the_pauses_it_covers(self, pauses_s: list[float]) -> None:
        pauses = histogram(*pauses_s)
        assert len(pauses.counts) == BUCKET_COUNT
        assert quantile_s(pauses, 1.0) >= max(pauses_s[-100:])

    def test_quantile_of_a_long_pause_ignores_shorter_ones(self) -> None:
        pauses = histogram(*[1.0] * 9, 100.0)
        assert quantile_s(pauses, 0.5) < 2.0
        assert quantile_s(pauses, 0.5, elapsed_s=10.0) > 100.0
        assert math.isinf(quantile_s(pauses, 0.5, elapsed_s=1_000.0))


class TestExpectedReturn:
    def test_pause_longer_than_most_is_expected_to_continue(self) -> None:
        pauses = histogram(*[1.0] * 30, *[100.0] * 2)
        assert expected_return_s(pauses, 0.0) < 2.0
        assert expected_return_s(pauses, 5.0) > 90.0

    def test_default_is_used_with_too_few_pauses(self) -> None:
        assert expected_return_s(histogram(500.0), 0.0) == 10.0


class TestEviction:
    def test_latest_to_return_is_evicted_first_and_no_more_than_needed(self) -> None:
        idle = [
            IdlePrefix("soon", 500, 1.0),
            IdlePrefix("late", 500, 60.0),
            IdlePrefix("later", 500, 90.0),
        ]
        evictions = choose_evictions(idle, 600, RATES)
        assert [eviction.program for eviction in evictions] == ["later", "late"]

    def test_nothing_is_evicted_while_there_is_room(self) -> None:
        assert choose_evictions([IdlePrefix("a", 500, 60.0)], 0, RATES) == ()

    def test_prefix_is_dropped_if_export_is_slower_than_recomputation(self) -> None:
        idle = [IdlePrefix("a", 500, 60.0)]
        assert choose_evictions(idle, 1, RATES)[0].action is Action.EXPORT
        slow = RATES._replace(transfer_tokens_per_s=1_500.0)
        assert choose_evictions(idle, 1, slow)[0].action is Action.DROP

    def test_prefix_of_a_hung_tool_is_dropped(self) -> None:
        remaining_s = expected_return_s(histogram(*[1.0] * 20), 300.0)
        assert (
            choose_evictions([IdlePrefix("a", 500, remaining_s + 300.0)], 1, RATES)[0].action
            is Action.DROP
        )
