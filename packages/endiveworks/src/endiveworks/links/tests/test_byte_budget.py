from endiveworks.links.byte_budget import Limits, Traffic, full, reserve
from hypothesis import given, settings
from hypothesis import strategies as st

LIMITS = Limits(bytes_per_s=1000.0, burst_bytes=500.0, control_bytes=100.0, max_wait_s=2.0)
SENDS = st.tuples(st.sampled_from(Traffic), st.integers(1, 400), st.floats(0.0, 1.0))


class TestByteBudget:
    def test_control_goes_at_once_when_bulk_has_used_the_budget(self) -> None:
        budget = reserve(LIMITS, full(LIMITS, 0.0), Traffic.BULK, 2000, 0.0).budget
        assert reserve(LIMITS, budget, Traffic.CONTROL, 50, 0.0).wait_s == 0.0

    def test_bulk_that_would_wait_too_long_is_refused_and_takes_nothing(self) -> None:
        first = reserve(LIMITS, full(LIMITS, 0.0), Traffic.BULK, 2000, 0.0)
        assert first.allowed
        second = reserve(LIMITS, first.budget, Traffic.BULK, 2000, 0.0)
        assert not second.allowed
        assert second.budget == first.budget
        assert reserve(LIMITS, second.budget, Traffic.BULK, 2000, second.wait_s).allowed

    @settings(derandomize=True, deadline=None)
    @given(st.lists(SENDS, max_size=50))
    def test_bulk_stays_within_the_rate(self, sends: list[tuple[Traffic, int, float]]) -> None:
        budget = full(LIMITS, 0.0)
        now_s, sent = 0.0, 0
        latest_s = 0.0
        for traffic, size, pause_s in sends:
            now_s += pause_s
            grant = reserve(LIMITS, budget, traffic, size, now_s)
            budget = grant.budget
            if grant.allowed and traffic is Traffic.BULK:
                assert grant.wait_s <= LIMITS.max_wait_s
                latest_s = max(latest_s, now_s + grant.wait_s)
                sent += size
        assert sent <= LIMITS.burst_bytes + LIMITS.bytes_per_s * latest_s + 0.001
