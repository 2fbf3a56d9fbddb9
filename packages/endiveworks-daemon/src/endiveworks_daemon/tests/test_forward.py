import time
from collections.abc import Iterator

import pytest
from endiveworks.calls.stream import Chunk, FinalStatus
from endiveworks.errors import Code, Failure
from endiveworks.programs.requests import CallRequest
from endiveworks_daemon.forward import OwnerLocator, follow, manage
from endiveworks_daemon.node import Command, Node
from endiveworks_daemon.response_sink import ResponseSink
from returns.result import Failure as Err
from returns.result import Result, Success

REQ = CallRequest("0001-a", 1, "t", "assistant", "chat", "k", b"{}")
DONE = FinalStatus(200, "text/event-stream")


class TestFollow:
    @pytest.mark.parametrize("code", [Code.NOT_OWNER, Code.STORAGE, Code.STALE_EPOCH])
    def test_bytes_sent_before_a_change_of_owner_are_not_read_again(self, code: Code) -> None:
        offsets: list[int] = []
        moved = FinalStatus(503, "", failure=Failure(code, "t", "", "moved"))
        responses = [
            [Chunk(0, b"first", None, 1), Chunk(60, b"", moved, 1)],
            [Chunk(60, b"", DONE, 1)],
        ]

        def chunks(
            program: str, call: int, offset: int, sink: ResponseSink
        ) -> Iterator[Result[Chunk, Failure]]:
            offsets.append(offset)
            yield from map(Success, responses.pop(0))

        node = Node(lambda command: Success(b""), lambda req: Success(None), chunks)
        received = list(follow(_owners(node, 5.0), REQ, ResponseSink(lambda: None)))
        assert offsets == [0, 60]
        assert received[-1].final_status == DONE

    def test_failover_after_a_response_that_took_longer_than_patience_s(self) -> None:
        patience_s = 0.2
        responses: list[list[Result[Chunk, Failure]]] = [
            [Err(Failure(Code.UNREACHABLE, "t", "owner", "the connection was closed"))],
            [Success(Chunk(0, b"answer", DONE, 1))],
        ]

        def chunks(
            program: str, call: int, offset: int, sink: ResponseSink
        ) -> Iterator[Result[Chunk, Failure]]:
            if len(responses) > 1:
                time.sleep(2 * patience_s)
            yield from responses.pop(0)

        node = Node(lambda command: Success(b""), lambda req: Success(None), chunks)
        received = list(follow(_owners(node, patience_s), REQ, ResponseSink(lambda: None)))
        assert [(chunk.data, chunk.final_status) for chunk in received] == [(b"answer", DONE)]


class TestManage:
    def test_failover_after_a_timeout_longer_than_patience_s(self) -> None:
        patience_s = 0.2
        outcomes: list[Result[bytes, Failure]] = [
            Err(Failure(Code.TIMEOUT, "t", "owner", "no answer")),
            Success(b"status"),
        ]

        def run(command: Command) -> Result[bytes, Failure]:
            if len(outcomes) > 1:
                time.sleep(2 * patience_s)
            return outcomes.pop(0)

        node = Node(run, lambda req: Success(None), lambda *args: iter(()))
        command = Command("status", REQ.program, REQ.tenant, b"")
        assert manage(_owners(node, patience_s), command) == Success(b"status")


def _owners(node: Node, patience_s: float) -> OwnerLocator:
    return OwnerLocator(
        lambda partition: Success(node), lambda: Success(1), lambda *args: None, patience_s
    )
