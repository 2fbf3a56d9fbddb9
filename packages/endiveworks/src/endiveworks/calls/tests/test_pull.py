import threading
from collections.abc import Mapping, Sequence
from queue import SimpleQueue

from endiveworks.calls.gather import Gatherer
from endiveworks.calls.messages import CallKey
from endiveworks.calls.pull import Listener, News, Puller, Send, Want, pull_to_end
from endiveworks.calls.stream import Ending, Piece, Stream
from endiveworks.errors import Code, Failure
from returns.result import Failure as Err
from returns.result import Result, Success

DONE = Ending(200, "text/event-stream")
GONE = Failure(Code.CONFLICT, "test", "u", "gone")


def key(number: int) -> CallKey:
    return CallKey("0001-a", number, 1)


def sending(streams: Mapping[CallKey, Stream]) -> Send:
    """Returns what asks a gatherer in the same process for news of streams."""
    gatherer = Gatherer()

    def send(address: str, wants: Sequence[Want], wait_s: float) -> Result[News, Failure]:
        found: list[Result[Stream, Failure]] = [Success(streams[want.key]) for want in wants]
        answers: SimpleQueue[News] = SimpleQueue()
        gatherer.ask(found, [want.offset for want in wants], wait_s, answers.put)
        return Success(answers.get(timeout=30))

    return send


class TestPuller:
    def test_follows_many_answers_to_their_ends(self) -> None:
        streams = {key(number): Stream() for number in range(20)}

        puller = Puller(sending(streams))
        got: dict[CallKey, bytearray] = {name: bytearray() for name in streams}

        def follow(name: CallKey) -> None:
            take = lambda piece: got[name].extend(piece.data)  # noqa: E731
            pull_to_end(puller, "u", Want(name, 0), take, lambda: None).unwrap()

        threads = [threading.Thread(target=follow, args=(name,)) for name in streams]
        for thread in threads:
            thread.start()
        for part in (b"one ", b"two ", b"three"):
            for stream in streams.values():
                stream.append(part)
        for stream in streams.values():
            stream.finish(DONE)
        for thread in threads:
            thread.join(30)
        assert all(data == b"one two three" for data in got.values())

    def test_a_lost_peer_ends_every_follower(self) -> None:
        puller = Puller(lambda address, wants, wait_s: Err(GONE))
        outcome = pull_to_end(puller, "u", Want(key(1), 0), lambda piece: None, lambda: None)
        assert outcome.failure() == GONE

    def test_a_listener_that_fails_is_lost_and_the_others_go_on(self) -> None:
        streams = {key(1): Stream(), key(2): Stream()}

        def fail(piece: Piece) -> None:
            raise ValueError("fault")

        puller = Puller(sending(streams))
        lost: SimpleQueue[Failure] = SimpleQueue()
        puller.follow("u", Want(key(1), 0), Listener(fail, lost.put))
        streams[key(1)].append(b"x")
        assert lost.get(timeout=30).code is Code.INTERNAL
        streams[key(2)].finish(DONE)
        ended = pull_to_end(puller, "u", Want(key(2), 0), lambda piece: None, lambda: None)
        assert ended.unwrap().ending == DONE

    def test_a_fault_in_asking_ends_every_follower(self) -> None:
        def send(address: str, wants: Sequence[Want], wait_s: float) -> Result[News, Failure]:
            raise ValueError("fault")

        lost: SimpleQueue[Failure] = SimpleQueue()
        Puller(send).follow("u", Want(key(1), 0), Listener(lambda piece: None, lost.put))
        assert lost.get(timeout=30).code is Code.INTERNAL
