from endiveworks.admission.limit import (
    ConcurrencyLimits,
    EngineLoad,
    expected_concurrency,
    may_start,
)

LIMITS = ConcurrencyLimits(slots=10, memory_tokens=1_000, memory_share=0.9)


class TestMayStart:
    def test_memory_limits_concurrent_calls(self) -> None:
        assert may_start(LIMITS, EngineLoad(1, 500), 400).admitted
        assert not may_start(LIMITS, EngineLoad(1, 500), 401).admitted

    def test_slots_limit_concurrent_calls(self) -> None:
        assert may_start(LIMITS, EngineLoad(9, 0), 1).admitted
        assert not may_start(LIMITS, EngineLoad(10, 0), 1).admitted

    def test_call_larger_than_the_memory_limit_runs_alone(self) -> None:
        assert may_start(LIMITS, EngineLoad(0, 0), 950).admitted

    def test_unknown_memory_imposes_no_limit(self) -> None:
        assert may_start(ConcurrencyLimits(slots=2), EngineLoad(1, 10**9), 10**9).admitted


class TestExpectedConcurrency:
    def test_smaller_of_the_slot_and_memory_limits(self) -> None:
        assert expected_concurrency(LIMITS, 300.0) == 3.0
        assert expected_concurrency(LIMITS, 1.0) == 10.0
        assert expected_concurrency(LIMITS, 5_000.0) == 1.0
