from endiveworks.cache.holds import UNKNOWN_GRACE_S, Holds, Renewal, end, reconcile, renew
from hypothesis import given, settings
from hypothesis import strategies as st

PROGRAMS = st.sampled_from(["a", "b", "c"])


class TestLeases:
    def test_expired_lease_is_released(self) -> None:
        holds = renew(Holds(), [Renewal("a", 1, 10.0), Renewal("b", 1, 30.0)])
        sweep = reconcile(holds, ["a", "b"], 20.0)
        assert sweep.release == ("a",)
        assert set(sweep.holds.leases) == {"b"}

    def test_older_epoch_neither_ends_nor_changes_a_lease(self) -> None:
        holds = renew(Holds(), [Renewal("a", 2, 10.0), Renewal("a", 1, 5.0)])
        assert holds.leases["a"].expires_s == 10.0
        assert end(holds, "a", 1).release == ()
        assert end(holds, "a", 2).release == ("a",)


class TestReconciliation:
    def test_unleased_prefix_is_released_after_the_grace_period(self) -> None:
        first = reconcile(Holds(), ["gone"], 0.0)
        assert first.release == ()
        later = reconcile(first.holds, ["gone"], UNKNOWN_GRACE_S)
        assert later.release == ("gone",)

    def test_prefix_renewed_in_the_grace_period_is_kept(self) -> None:
        first = reconcile(Holds(), ["a"], 0.0)
        renewed = renew(first.holds, [Renewal("a", 1, 100.0)])
        assert reconcile(renewed, ["a"], UNKNOWN_GRACE_S).release == ()

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(PROGRAMS, st.integers(1, 3), st.floats(0, 50)), max_size=20),
        st.sets(PROGRAMS),
    )
    def test_everything_is_released_after_all_leases_and_the_grace_period(
        self, renewals: list[tuple[str, int, float]], cached: set[str]
    ) -> None:
        holds = renew(Holds(), [Renewal(*fields) for fields in renewals])
        first = reconcile(holds, cached, 51.0)
        remaining = cached - set(first.release)
        second = reconcile(first.holds, remaining, 51.0 + UNKNOWN_GRACE_S)
        assert cached <= set(first.release) | set(second.release)
        assert second.holds == Holds({}, {})
