from collections import Counter

from endiveworks.errors import Code, Failure
from endiveworks_daemon.problems import encode_problem
from hypothesis import given, settings
from hypothesis import strategies as st

CALLERS = 200


def retry_after_s(base_s: float) -> int:
    failure = Failure(Code.OVERLOADED, "s", "", "", True, base_s)
    return int(dict(encode_problem(failure).headers)["Retry-After"])


class TestRetryAfter:
    @settings(derandomize=True, deadline=None)
    @given(st.floats(0.01, 1_000.0))
    def test_callers_refused_together_get_different_delays(self, base_s: float) -> None:
        returned_s = Counter(retry_after_s(base_s) for _ in range(CALLERS))
        assert min(returned_s) >= base_s
        assert max(returned_s.values()) <= CALLERS / 2

    def test_zero_delay_stays_zero(self) -> None:
        assert retry_after_s(0.0) == 0
