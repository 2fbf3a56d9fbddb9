import pytest
from endiveworks.turns.store_time import HALF_LIFE_S, StoreTime


def after(*took_s: float, period_s: float = 0.1) -> tuple[StoreTime, float]:
    """Returns the average after some writes that ended a period apart, and the time of the last."""
    times, now_s = StoreTime(), 0.0
    for each_s in took_s:
        now_s += period_s
        times.record(each_s, now_s)
    return times, now_s


class TestStoreTime:
    def test_nothing_is_known_at_first(self) -> None:
        assert StoreTime().recent_s(5.0) == 0.0

    def test_the_first_write_counts_whole(self) -> None:
        times, now_s = after(0.3)
        assert times.recent_s(now_s) == pytest.approx(0.3)

    def test_a_single_late_write_counts_little(self) -> None:
        times, now_s = after(*[0.02] * 20, 0.7)
        assert times.recent_s(now_s) < 0.2

    def test_a_second_of_late_writes_is_no_slow_link(self) -> None:
        times, now_s = after(*[0.02] * 20, *[0.7] * 10)
        assert times.recent_s(now_s) < 0.3

    def test_late_writes_that_last_count(self) -> None:
        times, now_s = after(*[0.02] * 20, *[0.7] * 40)
        assert times.recent_s(now_s) > 0.5

    def test_it_fades_without_writes(self) -> None:
        times, now_s = after(0.8)
        assert times.recent_s(now_s + 2 * HALF_LIFE_S) == pytest.approx(0.2)
