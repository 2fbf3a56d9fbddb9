from collections import Counter

from endiveworks.errors import Code, Failure
from endiveworks_daemon.problems import problem
from hypothesis import given, settings
from hypothesis import strategies as st

CALLERS = 200


def retry_after_s(asked_s: float) -> int:
    failure = Failure(Code.OVERLOADED, "s", "", "", True, asked_s)
    return int(dict(problem(failure).headers)["Retry-After"])


class TestRetryAfter:
    @settings(derandomize=True, deadline=None)
    @given(st.floats(0.01, 1_000.0))
    def test_callers_refused_together_are_told_different_times(self, asked_s: float) -> None:
        told_s = Counter(retry_after_s(asked_s) for _ in range(CALLERS))
        assert min(told_s) >= asked_s
        assert max(told_s.values()) <= CALLERS / 2

    def test_failure_that_may_be_repeated_at_once_says_so(self) -> None:
        assert retry_after_s(0.0) == 0
