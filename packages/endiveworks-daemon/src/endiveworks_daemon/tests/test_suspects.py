import threading

from endiveworks.members.member import Member
from endiveworks_daemon.suspects import GONE_AFTER_S, Suspects
from endiveworks_standins.fleet import wait_until

HOST = Member("a", "", "entry", "", "r", "d", 1)
MEMBERS = {"a": HOST}


class TestSuspects:
    def setup_method(self) -> None:
        self.now_s = 100.0
        self.is_alive = False
        self.pinged = threading.Event()
        self.suspects = Suspects(self.ping, lambda: self.now_s)

    def ping(self, member: Member) -> bool:
        self.pinged.set()
        return self.is_alive

    def test_gone_after_a_while_without_a_reply(self) -> None:
        self.suspects.record_failure(HOST)
        assert self.suspects.exclude_gone(MEMBERS) == MEMBERS
        self.now_s += GONE_AFTER_S
        self.suspects.check(MEMBERS)
        assert self.pinged.wait(10)
        assert self.suspects.exclude_gone(MEMBERS) == {}

    def test_live_again_with_the_first_reply(self) -> None:
        self.suspects.record_failure(HOST)
        self.now_s += GONE_AFTER_S
        self.is_alive = True
        self.suspects.check(MEMBERS)
        wait_until(lambda: self.suspects.exclude_gone(MEMBERS) == MEMBERS)

    def test_another_incarnation_is_not_suspected(self) -> None:
        self.suspects.record_failure(HOST)
        self.now_s += GONE_AFTER_S
        restarted = {"a": HOST._replace(incarnation=2)}
        assert self.suspects.exclude_gone(restarted) == restarted
