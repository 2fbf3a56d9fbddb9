import random
from collections import Counter

from endiveworks.admission.refuse import (
    ElapsedWait,
    ExpectedWait,
    Refusal,
    evaluate_new_call,
    evaluate_queued_call,
)
from hypothesis import given, settings
from hypothesis import strategies as st

CALLERS = 200
MAX_WAIT_S = 10_000.0


class TestNewCall:
    def test_call_that_can_be_served_in_time_is_not_refused(self) -> None:
        assert not evaluate_new_call(ExpectedWait(100.0, 10, 10.0, first_call=False), 0.0).refused

    def test_call_that_would_wait_past_its_deadline_is_refused(self) -> None:
        refusal = evaluate_new_call(ExpectedWait(200.0, 10, 10.0, first_call=False), 0.0)
        assert refusal.refused
        assert refusal.retry_after_s == 10.0

    def test_first_call_of_a_program_has_a_shorter_maximum_wait(self) -> None:
        assert evaluate_new_call(ExpectedWait(60.0, 10, 10.0, first_call=True), 0.0).refused
        assert not evaluate_new_call(ExpectedWait(60.0, 10, 10.0, first_call=False), 0.0).refused

    def test_jitter_spreads_the_retries(self) -> None:
        refusals = [
            evaluate_new_call(ExpectedWait(200.0, 10, 10.0, False), at / 10) for at in range(10)
        ]
        assert len({refusal.retry_after_s for refusal in refusals}) == 10

    @settings(derandomize=True, deadline=None)
    @given(st.floats(0.0, MAX_WAIT_S), st.floats(0.1, MAX_WAIT_S), st.booleans(), st.integers())
    def test_retries_of_callers_refused_together_are_spread(
        self, ahead_s: float, deadline_s: float, first_call: bool, seed: int
    ) -> None:
        rng = random.Random(seed)
        expected = ExpectedWait(ahead_s + 2 * deadline_s, 1.0, deadline_s, first_call)
        refusals = [evaluate_new_call(expected, rng.random()) for _ in range(CALLERS)]
        assert_spread(refusals)


class TestQueuedCall:
    def test_call_within_its_deadline_stays_queued(self) -> None:
        assert not evaluate_queued_call(ElapsedWait(10.0, 10.0, preempted=False), 0.0).refused

    def test_call_past_its_deadline_is_refused_unless_it_was_preempted(self) -> None:
        refusal = evaluate_queued_call(ElapsedWait(10.1, 10.0, preempted=False), 0.5)
        assert (refusal.refused, refusal.retry_after_s) == (True, 15.0)
        assert not evaluate_queued_call(ElapsedWait(10.1, 10.0, preempted=True), 0.5).refused

    @settings(derandomize=True, deadline=None)
    @given(st.floats(0.1, MAX_WAIT_S), st.integers())
    def test_retries_of_callers_refused_together_are_spread(
        self, deadline_s: float, seed: int
    ) -> None:
        rng = random.Random(seed)
        late = ElapsedWait(2 * deadline_s, deadline_s, preempted=False)
        assert_spread([evaluate_queued_call(late, rng.random()) for _ in range(CALLERS)])


def assert_spread(refusals: list[Refusal]) -> None:
    """Asserts that no tenth of the retry interval contains more than a quarter of the callers."""
    assert all(refusal.refused for refusal in refusals)
    first_s = min(refusal.retry_after_s for refusal in refusals)
    last_s = max(refusal.retry_after_s for refusal in refusals)
    assert last_s >= 1.5 * first_s
    tenth_s = (last_s - first_s) / 10
    retries_by_tenth = Counter(
        int((refusal.retry_after_s - first_s) / tenth_s) for refusal in refusals
    )
    assert max(retries_by_tenth.values()) <= CALLERS / 4
