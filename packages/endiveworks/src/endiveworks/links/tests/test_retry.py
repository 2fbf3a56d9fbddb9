from endiveworks.links.retry import (
    backoff_s,
    deposit,
    full_budget,
    withdraw,
)
from hypothesis import given, settings
from hypothesis import strategies as st


class TestRetryBudget:
    @settings(derandomize=True)
    @given(st.lists(st.booleans(), max_size=200))
    def test_retries_stay_within_the_capacity_and_a_share_of_requests(
        self, wants_retry: list[bool]
    ) -> None:
        budget = full_budget(capacity=5.0, per_request=0.1)
        retries = 0
        for wants in wants_retry:
            budget = deposit(budget)
            if wants:
                budget, allowed = withdraw(budget)
                retries += allowed
        assert retries <= 5 + 0.1 * len(wants_retry)


class TestBackoff:
    def test_full_jitter_below_a_bound_that_doubles_up_to_the_cap(self) -> None:
        bounds = [backoff_s(attempt, 0.1, 1.0, 1.0) for attempt in range(1, 7)]
        assert bounds == [0.1, 0.2, 0.4, 0.8, 1.0, 1.0]
        assert backoff_s(10_000, 0.1, 1.0, 0.0) == 0.0
