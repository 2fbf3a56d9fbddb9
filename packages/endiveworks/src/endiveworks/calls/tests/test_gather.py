import threading
import time
from collections.abc import Sequence
from queue import SimpleQueue

from endiveworks.calls.gather import Gatherer
from endiveworks.calls.pull import News, Pulled
from endiveworks.calls.stream import Ending, Piece, Stream
from endiveworks.errors import Code, Failure
from returns.result import Failure as Err
from returns.result import Result, Success

DONE = Ending(200, "text/event-stream")
GONE = Failure(Code.CONFLICT, "test", "u", "gone")


def gather(found: Sequence[Result[Stream, Failure]], offsets: Sequence[int], wait_s: float) -> News:
    """Asks a new gatherer and waits for its reply."""
    answers: SimpleQueue[News] = SimpleQueue()
    Gatherer().ask(found, offsets, wait_s, answers.put)
    return answers.get(timeout=30)


class TestGather:
    def test_gives_news_of_the_streams_that_have_any(self) -> None:
        quiet, busy = Stream(), Stream()
        busy.append(b"abc", 4)
        news = gather([Success(quiet), Success(busy)], [0, 1], 0.0)
        assert news == News([1], [4], [b"bc"], [])

    def test_an_end_comes_with_the_bytes_before_it(self) -> None:
        quiet, ended = Stream(), Stream()
        ended.append(b"abc", 4)
        ended.finish(DONE)
        news = gather([Success(quiet), Success(ended)], [0, 1], 0.0)
        assert news == News([], [], [], [Pulled(1, Success(Piece(1, b"bc", DONE, 4)))])

    def test_waits_for_the_first_news(self) -> None:
        stream = Stream()
        timer = threading.Timer(0.05, stream.append, (b"x",))
        timer.start()
        assert gather([Success(stream)], [0], 30.0).data == [b"x"]

    def test_waits_no_longer_than_asked_when_there_is_no_news(self) -> None:
        assert gather([Success(Stream())], [0], 0.01) == News([], [], [], [])

    def test_a_missing_stream_is_news(self) -> None:
        news = gather([Err(GONE), Success(Stream())], [0, 0], 30.0)
        assert news == News([], [], [], [Pulled(0, Err(GONE))])

    def test_a_short_wait_is_kept_beside_a_long_one(self) -> None:
        gatherer = Gatherer()
        answers: SimpleQueue[str] = SimpleQueue()
        gatherer.ask([Success(Stream())], [0], 3600.0, lambda news: answers.put("long"))
        while gatherer._wakes_at < time.monotonic() + 1800.0:
            time.sleep(0.01)
        gatherer.ask([Success(Stream())], [0], 0.01, lambda news: answers.put("short"))
        assert answers.get(timeout=30) == "short"

    def test_a_reply_that_fails_does_not_end_the_others(self) -> None:
        gatherer = Gatherer()
        stream = Stream()
        answers: SimpleQueue[News] = SimpleQueue()

        def fail(news: News) -> None:
            raise RuntimeError("fault")

        gatherer.ask([Success(stream)], [0], 30.0, fail)
        gatherer.ask([Success(stream)], [0], 30.0, answers.put)
        stream.append(b"x")
        assert answers.get(timeout=30).data == [b"x"]

    def test_the_news_of_many_pulls_are_all_told(self) -> None:
        gatherer = Gatherer()
        streams = [Stream() for _ in range(20)]
        answers: SimpleQueue[News] = SimpleQueue()
        for stream in streams:
            gatherer.ask([Success(stream)], [0], 30.0, answers.put)
        for stream in streams:
            stream.append(b"x")
        assert all(answers.get(timeout=30).data == [b"x"] for _ in streams)
