import threading

from endiveworks.members.member import Member
from endiveworks_daemon.suspects import GONE_AFTER_S, Suspects
from endiveworks_standins.fleet import wait_until

HOST = Member("a", "", "entry", "", "r", "d", 1)
MEMBERS = {"a": HOST}


class TestSuspects:
    def setup_method(self) -> None:
        self.now_s = 100.0
        self.answers = False
        self.asked = threading.Event()
        self.suspects = Suspects(self.ping, lambda: self.now_s)

    def ping(self, member: Member) -> bool:
        self.asked.set()
        return self.answers

    def test_gone_after_a_while_without_an_answer(self) -> None:
        self.suspects.note(HOST)
        assert self.suspects.without_gone(MEMBERS) == MEMBERS
        self.now_s += GONE_AFTER_S
        self.suspects.check(MEMBERS)
        assert self.asked.wait(10)
        assert self.suspects.without_gone(MEMBERS) == {}

    def test_there_again_with_the_first_answer(self) -> None:
        self.suspects.note(HOST)
        self.now_s += GONE_AFTER_S
        self.answers = True
        self.suspects.check(MEMBERS)
        wait_until(lambda: self.suspects.without_gone(MEMBERS) == MEMBERS)

    def test_another_incarnation_is_not_suspected(self) -> None:
        self.suspects.note(HOST)
        self.now_s += GONE_AFTER_S
        restarted = {"a": HOST._replace(incarnation=2)}
        assert self.suspects.without_gone(restarted) == restarted
