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


def key(call: int) -> CallKey:
    return CallKey("0001-a", call, 1)


def send_locally(streams: Mapping[CallKey, Stream]) -> Send:
    """Returns a function that polls a server of streams in the same process."""
    gatherer = Gatherer()

    def send(address: str, requests: Sequence[Want], wait_s: float) -> Result[News, Failure]:
        found: list[Result[Stream, Failure]] = [
            Success(streams[request.key]) for request in requests
        ]
        replies: SimpleQueue[News] = SimpleQueue()
        gatherer.ask(found, [request.offset for request in requests], wait_s, replies.put)
        return Success(replies.get(timeout=30))

    return send


class TestPuller:
    def test_reads_many_responses_to_the_end(self) -> None:
        streams = {key(call): Stream() for call in range(20)}

        puller = Puller(send_locally(streams))
        received: dict[CallKey, bytearray] = {call_key: bytearray() for call_key in streams}

        def read(call_key: CallKey) -> None:
            on_chunk = lambda piece: received[call_key].extend(piece.data)  # noqa: E731
            pull_to_end(puller, "u", Want(call_key, 0), on_chunk, lambda: None).unwrap()

        threads = [threading.Thread(target=read, args=(call_key,)) for call_key in streams]
        for thread in threads:
            thread.start()
        for part in (b"one ", b"two ", b"three"):
            for stream in streams.values():
                stream.append(part)
        for stream in streams.values():
            stream.finish(DONE)
        for thread in threads:
            thread.join(30)
        assert all(data == b"one two three" for data in received.values())

    def test_an_unreachable_peer_ends_every_subscription(self) -> None:
        puller = Puller(lambda address, requests, wait_s: Err(GONE))
        outcome = pull_to_end(puller, "u", Want(key(1), 0), lambda piece: None, lambda: None)
        assert outcome.failure() == GONE

    def test_a_failed_subscriber_is_removed_and_the_others_continue(self) -> None:
        streams = {key(1): Stream(), key(2): Stream()}

        def fail(piece: Piece) -> None:
            raise ValueError("fault")

        puller = Puller(send_locally(streams))
        lost: SimpleQueue[Failure] = SimpleQueue()
        puller.follow("u", Want(key(1), 0), Listener(fail, lost.put))
        streams[key(1)].append(b"x")
        assert lost.get(timeout=30).code is Code.INTERNAL
        streams[key(2)].finish(DONE)
        ended = pull_to_end(puller, "u", Want(key(2), 0), lambda piece: None, lambda: None)
        assert ended.unwrap().ending == DONE

    def test_an_exception_in_a_poll_ends_every_subscription(self) -> None:
        def send(address: str, requests: Sequence[Want], wait_s: float) -> Result[News, Failure]:
            raise ValueError("fault")

        lost: SimpleQueue[Failure] = SimpleQueue()
        Puller(send).follow("u", Want(key(1), 0), Listener(lambda piece: None, lost.put))
        assert lost.get(timeout=30).code is Code.INTERNAL
