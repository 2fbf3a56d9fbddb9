from collections.abc import Iterator

import pytest
from endiveworks.calls.stream import Ending, Piece
from endiveworks.errors import Code, Failure
from endiveworks.programs.owner import CallRequest
from endiveworks_daemon.forward import Owners, follow
from endiveworks_daemon.node import Node
from endiveworks_daemon.outlet import Outlet
from returns.result import Result, Success

REQ = CallRequest("0001-a", 1, "t", "assistant", "chat", "k", b"{}")
DONE = Ending(200, "text/event-stream")


class TestFollow:
    @pytest.mark.parametrize("code", [Code.NOT_OWNER, Code.STORAGE, Code.STALE_EPOCH])
    def test_bytes_that_flowed_before_the_owner_moved_are_not_read_again(self, code: Code) -> None:
        asked: list[int] = []
        moved = Ending(503, "", failure=Failure(code, "t", "", "moved"))
        answers = [
            [Piece(0, b"first", None, 1), Piece(60, b"", moved, 1)],
            [Piece(60, b"", DONE, 1)],
        ]

        def pieces(
            program: str, call: int, offset: int, outlet: Outlet
        ) -> Iterator[Result[Piece, Failure]]:
            asked.append(offset)
            yield from map(Success, answers.pop(0))

        node = Node(lambda command: Success(b""), lambda req: Success(None), pieces)
        owners = Owners(
            lambda partition: Success(node), lambda: Success(1), lambda *told: None, 5.0
        )
        received = list(follow(owners, REQ, Outlet(lambda: None)))
        assert asked == [0, 60]
        assert received[-1].ending == DONE
