from endiveworks.cache.prefix_leases import (
    UNLEASED_GRACE_S,
    LeaseTable,
    Renewal,
    end_lease,
    reconcile,
    renew,
)
from hypothesis import given, settings
from hypothesis import strategies as st

PROGRAMS = st.sampled_from(["a", "b", "c"])


class TestLeases:
    def test_expired_lease_is_released(self) -> None:
        table = renew(LeaseTable(), [Renewal("a", 1, 10.0), Renewal("b", 1, 30.0)])
        update = reconcile(table, ["a", "b"], 20.0)
        assert update.to_release == ("a",)
        assert set(update.table.leases) == {"b"}

    def test_older_epoch_neither_ends_nor_changes_a_lease(self) -> None:
        table = renew(LeaseTable(), [Renewal("a", 2, 10.0), Renewal("a", 1, 5.0)])
        assert table.leases["a"].expires_s == 10.0
        assert end_lease(table, "a", 1).to_release == ()
        assert end_lease(table, "a", 2).to_release == ("a",)


class TestReconciliation:
    def test_unleased_prefix_is_released_after_the_grace_period(self) -> None:
        first = reconcile(LeaseTable(), ["gone"], 0.0)
        assert first.to_release == ()
        later = reconcile(first.table, ["gone"], UNLEASED_GRACE_S)
        assert later.to_release == ("gone",)

    def test_prefix_renewed_in_the_grace_period_is_kept(self) -> None:
        first = reconcile(LeaseTable(), ["a"], 0.0)
        renewed = renew(first.table, [Renewal("a", 1, 100.0)])
        assert reconcile(renewed, ["a"], UNLEASED_GRACE_S).to_release == ()

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(PROGRAMS, st.integers(1, 3), st.floats(0, 50)), max_size=20),
        st.sets(PROGRAMS),
    )
    def test_everything_is_released_after_all_leases_and_the_grace_period(
        self, renewals: list[tuple[str, int, float]], cached: set[str]
    ) -> None:
        table = renew(LeaseTable(), [Renewal(*fields) for fields in renewals])
        first = reconcile(table, cached, 51.0)
        remaining = cached - set(first.to_release)
        second = reconcile(first.table, remaining, 51.0 + UNLEASED_GRACE_S)
        assert cached <= set(first.to_release) | set(second.to_release)
        assert second.table == LeaseTable({}, {})
