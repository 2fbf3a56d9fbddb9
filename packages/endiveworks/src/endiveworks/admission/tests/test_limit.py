from endiveworks.admission.limit import Limit, Running, Target, may_start, observe

TARGET = Target(token_gap_s=0.066, slots=100, memory_tokens=1_000, memory_share=0.9)


class TestLimit:
    def test_grows_at_the_limit_while_tokens_come_in_time(self) -> None:
        assert observe(Limit(10), TARGET, Running(10, 0), 0.05).allowed == 11
        assert observe(Limit(10), TARGET, Running(3, 0), 0.05).allowed == 10

    def test_is_cut_below_what_runs_when_tokens_are_late(self) -> None:
        assert observe(Limit(90), TARGET, Running(50, 0), 0.07).allowed == 45

    def test_never_passes_the_slots(self) -> None:
        assert observe(Limit(100), TARGET, Running(100, 0), 0.01).allowed == 100


class TestStart:
    def test_memory_bounds_the_calls(self) -> None:
        assert may_start(Limit(10), TARGET, Running(1, 500), 400).admitted
        assert not may_start(Limit(10), TARGET, Running(1, 500), 401).admitted

    def test_calls_are_bounded(self) -> None:
        assert not may_start(Limit(10), TARGET, Running(10, 0), 1).admitted

    def test_large_call_runs_alone(self) -> None:
        assert may_start(Limit(10), TARGET, Running(0, 0), 950).admitted
