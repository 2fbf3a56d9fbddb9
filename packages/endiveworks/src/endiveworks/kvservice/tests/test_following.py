import random

from endiveworks.errors import Code, Failure
from endiveworks.kvservice.following import Source, follow
from returns.result import Failure as Err
from returns.result import Result


def failed(code: Code) -> Result[None, Failure]:
    return Err(Failure(code, "kv.watch", "kv", "test"))


class Script:
    """Returns scripted results for loads and watches, and records the calls."""

    def __init__(self, *answers: bool | Code) -> None:
        self.answers = list(answers)
        self.done: list[str] = []

    def load(self) -> bool:
        self.done.append("load")
        answer = self.answers.pop(0)
        assert isinstance(answer, bool)
        return answer

    def watch(self) -> Result[None, Failure]:
        self.done.append("watch")
        answer = self.answers.pop(0)
        assert isinstance(answer, Code)
        return failed(answer)

    def run(self) -> list[str]:
        source = Source(self.load, self.watch)
        pause = lambda pause_s: self.done.append("pause")  # noqa: E731
        follow(source, pause, random.Random(1), lambda: bool(self.answers))
        return self.done


class TestFollow:
    def test_reads_until_the_service_answers_then_watches(self) -> None:
        script = Script(False, False, True, Code.TIMEOUT, Code.TIMEOUT)
        assert script.run() == ["load", "pause", "load", "pause", "load", "watch", "watch"]

    def test_pauses_after_a_lost_connection_and_watches_again(self) -> None:
        script = Script(True, Code.UNREACHABLE, Code.UNREACHABLE, Code.TIMEOUT)
        assert script.run() == ["load", "watch", "pause", "watch", "pause", "watch"]

    def test_reads_everything_again_after_a_gap(self) -> None:
        script = Script(True, Code.CONFLICT, True, Code.TIMEOUT)
        assert script.run() == ["load", "watch", "load", "watch"]
