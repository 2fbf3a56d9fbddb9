from endiveworks.kvservice.host_list import ListedHost
from endiveworks.kvservice.kv import Change, Entry, Snapshot
from endiveworks.members import view as views
from endiveworks.members.member import Member
from endiveworks.members.registry import HOSTS_PREFIX, encode_member
from endiveworks.members.view import GRACE_S, View


def member(host: str, incarnation: int = 1, draining: bool = False) -> Member:
    address = f"127.0.0.1:{len(host)}"
    return Member(host, address, "upstream", "s", "r", "d", incarnation, draining=draining)


def put(found: Member, revision: int) -> Change:
    return Change(HOSTS_PREFIX + found.host, encode_member(found), revision)


def gone(host: str, revision: int) -> Change:
    return Change(HOSTS_PREFIX + host, None, revision)


def view_of(*found: Member) -> View:
    return views.changed(View(), [put(each, 1) for each in found], 0.0)


class TestEntries:
    def test_a_lapsed_entry_is_kept_for_the_grace(self) -> None:
        view = views.changed(view_of(member("a")), [gone("a", 2)], 10.0)
        assert "a" in views.usable(views.expired(view, 10.0 + GRACE_S / 2), 10.0)
        assert not views.members(views.expired(view, 10.0 + GRACE_S))

    def test_a_host_that_registers_again_stays(self) -> None:
        view = views.changed(view_of(member("a")), [gone("a", 2), put(member("a"), 3)], 10.0)
        assert "a" in views.members(views.expired(view, 100.0))
        assert view.revision == 3

    def test_a_draining_host_whose_entry_goes_is_gone_at_once(self) -> None:
        view = views.changed(view_of(member("a", draining=True)), [gone("a", 2)], 10.0)
        assert not views.members(view)

    def test_a_snapshot_without_a_host_starts_its_grace(self) -> None:
        entry = Entry(HOSTS_PREFIX + "b", encode_member(member("b")), 5)
        view = views.loaded(view_of(member("a")), Snapshot(9, (entry,)), 10.0)
        assert set(views.members(view)) == {"a", "b"}
        assert set(views.members(views.expired(view, 10.0 + GRACE_S))) == {"b"}


class TestDirectSignals:
    def test_an_unanswered_host_is_left_out_for_longer_each_time(self) -> None:
        view = views.unanswered(view_of(member("a")), "a", 1, 10.0)
        assert not views.usable(view, 10.9)
        assert views.usable(view, 11.0)
        view = views.unanswered(view, "a", 1, 11.0)
        assert not views.usable(view, 12.9)
        assert views.usable(views.answered(view, "a", 1, draining=False), 11.0)

    def test_a_suspicion_does_not_hold_for_the_next_incarnation(self) -> None:
        view = views.unanswered(view_of(member("a")), "a", 1, 10.0)
        view = views.changed(view, [put(member("a", 2), 2)], 10.0)
        assert views.usable(view, 10.0)

    def test_what_a_host_says_of_itself_goes_before_its_entry(self) -> None:
        view = views.answered(view_of(member("a")), "a", 1, draining=True)
        assert views.members(view)["a"].draining
        # An answer to work accepted before does not mean that it takes new work.
        assert not views.usable(views.answered(view, "a", 1, draining=False), 0.0)


class TestHostList:
    def test_a_leaving_or_missing_host_gets_no_new_work(self) -> None:
        view = view_of(member("a"), member("b"), member("new"))
        view = views.listed(view, [ListedHost("a", "live"), ListedHost("b", "live")])
        view = views.listed(view, [ListedHost("a", "leaving")])
        assert set(views.usable(view, 0.0)) == {"new"}
        view = views.listed(view, [ListedHost("a", "leaving")])
        assert set(views.usable(view, 0.0)) == {"new"}
        view = views.listed(view, [ListedHost("a", "live"), ListedHost("b", "live")])
        assert set(views.usable(view, 0.0)) == {"a", "b", "new"}

    def test_a_mark_does_not_hold_for_an_incarnation_that_came_after_it(self) -> None:
        view = views.listed(view_of(member("a")), [ListedHost("a", "leaving")])
        view = views.changed(view, [put(member("a", 2), 2)], 0.0)
        view = views.listed(view, [ListedHost("a", "leaving")])
        assert set(views.usable(view, 0.0)) == {"a"}
