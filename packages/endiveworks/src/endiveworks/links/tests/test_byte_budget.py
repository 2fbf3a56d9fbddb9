from endiveworks.links.byte_budget import LinkLimits, TrafficClass, full_byte_budget, reserve
from hypothesis import given, settings
from hypothesis import strategies as st

LIMITS = LinkLimits(
    bytes_per_s=1000.0, burst_bytes=500.0, control_reserve_bytes=100.0, max_wait_s=2.0
)
SENDS = st.tuples(st.sampled_from(TrafficClass), st.integers(1, 400), st.floats(0.0, 1.0))


class TestByteBudget:
    def test_control_does_not_wait_when_bulk_has_used_the_budget(self) -> None:
        budget = reserve(LIMITS, full_byte_budget(LIMITS, 0.0), TrafficClass.BULK, 2000, 0.0).budget
        assert reserve(LIMITS, budget, TrafficClass.CONTROL, 50, 0.0).wait_s == 0.0

    def test_bulk_refused_for_too_long_a_wait_leaves_the_budget_unchanged(self) -> None:
        first = reserve(LIMITS, full_byte_budget(LIMITS, 0.0), TrafficClass.BULK, 2000, 0.0)
        assert first.allowed
        second = reserve(LIMITS, first.budget, TrafficClass.BULK, 2000, 0.0)
        assert not second.allowed
        assert second.budget == first.budget
        assert reserve(LIMITS, second.budget, TrafficClass.BULK, 2000, second.wait_s).allowed

    @settings(derandomize=True, deadline=None)
    @given(st.lists(SENDS, max_size=50))
    def test_bulk_stays_within_the_rate(self, sends: list[tuple[TrafficClass, int, float]]) -> None:
        budget = full_byte_budget(LIMITS, 0.0)
        now_s, sent = 0.0, 0
        latest_s = 0.0
        for traffic_class, size, pause_s in sends:
            now_s += pause_s
            reservation = reserve(LIMITS, budget, traffic_class, size, now_s)
            budget = reservation.budget
            if reservation.allowed and traffic_class is TrafficClass.BULK:
                assert reservation.wait_s <= LIMITS.max_wait_s
                latest_s = max(latest_s, now_s + reservation.wait_s)
                sent += size
        assert sent <= LIMITS.burst_bytes + LIMITS.bytes_per_s * latest_s + 0.001
