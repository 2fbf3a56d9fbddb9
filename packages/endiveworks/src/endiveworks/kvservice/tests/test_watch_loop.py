import random

from endiveworks.errors import Code, Failure
from endiveworks.kvservice.watch_loop import WatchedPrefix, run_watch_loop
from returns.result import Failure as Err
from returns.result import Result


def failed(code: Code) -> Result[None, Failure]:
    return Err(Failure(code, "kv.watch", "kv", "test"))


class Script:
    """Returns scripted results for loads and watches, and records the calls."""

    def __init__(self, *results: bool | Code) -> None:
        self.results = list(results)
        self.done: list[str] = []

    def load(self) -> bool:
        self.done.append("load")
        result = self.results.pop(0)
        assert isinstance(result, bool)
        return result

    def watch(self) -> Result[None, Failure]:
        self.done.append("watch")
        result = self.results.pop(0)
        assert isinstance(result, Code)
        return failed(result)

    def run(self) -> list[str]:
        source = WatchedPrefix(self.load, self.watch)
        pause = lambda pause_s: self.done.append("pause")  # noqa: E731
        run_watch_loop(source, pause, random.Random(1), lambda: bool(self.results))
        return self.done


class TestWatchLoop:
    def test_reads_until_the_service_answers_then_watches(self) -> None:
        script = Script(False, False, True, Code.TIMEOUT, Code.TIMEOUT)
        assert script.run() == ["load", "pause", "load", "pause", "load", "watch", "watch"]

    def test_pauses_after_a_lost_connection_and_watches_again(self) -> None:
        script = Script(True, Code.UNREACHABLE, Code.UNREACHABLE, Code.TIMEOUT)
        assert script.run() == ["load", "watch", "pause", "watch", "pause", "watch"]

    def test_reads_everything_again_after_a_gap(self) -> None:
        script = Script(True, Code.CONFLICT, True, Code.TIMEOUT)
        assert script.run() == ["load", "watch", "load", "watch"]
