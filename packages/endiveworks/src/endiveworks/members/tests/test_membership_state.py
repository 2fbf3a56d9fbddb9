from endiveworks.kvservice.host_list import ListedHost
from endiveworks.kvservice.kv import Change, KeyValue, Snapshot
from endiveworks.members.member import Member
from endiveworks.members.membership_state import (
    REREGISTRATION_GRACE_S,
    MembershipState,
    apply_changes,
    apply_host_list,
    apply_snapshot,
    members,
    record_failure,
    record_success,
    remove_expired,
    usable,
)
from endiveworks.members.registry import HOSTS_PREFIX, encode_member


def member(host: str, incarnation: int = 1, draining: bool = False) -> Member:
    address = f"127.0.0.1:{len(host)}"
    return Member(host, address, "upstream", "s", "r", "d", incarnation, draining=draining)


def put_change(found: Member, revision: int) -> Change:
    return Change(HOSTS_PREFIX + found.host, encode_member(found), revision)


def delete_change(host: str, revision: int) -> Change:
    return Change(HOSTS_PREFIX + host, None, revision)


def state_of(*found: Member) -> MembershipState:
    return apply_changes(MembershipState(), [put_change(each, 1) for each in found], 0.0)


class TestHostRecords:
    def test_a_member_without_a_record_is_kept_for_the_grace_period(self) -> None:
        state = apply_changes(state_of(member("a")), [delete_change("a", 2)], 10.0)
        assert "a" in usable(remove_expired(state, 10.0 + REREGISTRATION_GRACE_S / 2), 10.0)
        assert not members(remove_expired(state, 10.0 + REREGISTRATION_GRACE_S))

    def test_a_member_that_registers_again_is_not_removed(self) -> None:
        state = apply_changes(
            state_of(member("a")), [delete_change("a", 2), put_change(member("a"), 3)], 10.0
        )
        assert "a" in members(remove_expired(state, 100.0))
        assert state.revision == 3

    def test_a_draining_member_is_removed_with_its_record(self) -> None:
        state = apply_changes(state_of(member("a", draining=True)), [delete_change("a", 2)], 10.0)
        assert not members(state)

    def test_a_snapshot_without_a_member_starts_its_grace_period(self) -> None:
        entry = KeyValue(HOSTS_PREFIX + "b", encode_member(member("b")), 5)
        state = apply_snapshot(state_of(member("a")), Snapshot(9, (entry,)), 10.0)
        assert set(members(state)) == {"a", "b"}
        assert set(members(remove_expired(state, 10.0 + REREGISTRATION_GRACE_S))) == {"b"}


class TestSuspicion:
    def test_each_failure_in_a_row_lengthens_the_suspicion(self) -> None:
        state = record_failure(state_of(member("a")), "a", 1, 10.0)
        assert not usable(state, 10.9)
        assert usable(state, 11.0)
        state = record_failure(state, "a", 1, 11.0)
        assert not usable(state, 12.9)
        assert usable(record_success(state, "a", 1, draining=False), 11.0)

    def test_a_suspicion_does_not_apply_to_the_next_incarnation(self) -> None:
        state = record_failure(state_of(member("a")), "a", 1, 10.0)
        state = apply_changes(state, [put_change(member("a", 2), 2)], 10.0)
        assert usable(state, 10.0)

    def test_a_host_that_reports_draining_overrides_its_record(self) -> None:
        state = record_success(state_of(member("a")), "a", 1, draining=True)
        assert members(state)["a"].draining
        # A response to work accepted earlier does not mean that the host accepts new work.
        assert not usable(record_success(state, "a", 1, draining=False), 0.0)


class TestHostList:
    def test_a_leaving_or_missing_host_gets_no_new_work(self) -> None:
        state = state_of(member("a"), member("b"), member("new"))
        state = apply_host_list(state, [ListedHost("a", "live"), ListedHost("b", "live")])
        state = apply_host_list(state, [ListedHost("a", "leaving")])
        assert set(usable(state, 0.0)) == {"new"}
        state = apply_host_list(state, [ListedHost("a", "leaving")])
        assert set(usable(state, 0.0)) == {"new"}
        state = apply_host_list(state, [ListedHost("a", "live"), ListedHost("b", "live")])
        assert set(usable(state, 0.0)) == {"a", "b", "new"}

    def test_leaving_does_not_apply_to_a_later_incarnation(self) -> None:
        state = apply_host_list(state_of(member("a")), [ListedHost("a", "leaving")])
        state = apply_changes(state, [put_change(member("a", 2), 2)], 0.0)
        state = apply_host_list(state, [ListedHost("a", "leaving")])
        assert set(usable(state, 0.0)) == {"a"}
