import socket
import threading

import pytest
from endiveworks.engines.plain import PlainJob, run_plain
from endiveworks.errors import Code

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n"


def answer_of(reply: bytes) -> tuple[bytes, Code | None]:
    """Returns what a call makes of an answer after which the connection is closed."""
    with socket.create_server(("127.0.0.1", 0)) as listening:

        def serve() -> None:
            conn, _ = listening.accept()
            with conn:
                while b"{}" not in conn.recv(65536):
                    pass
                conn.sendall(reply)

        thread = threading.Thread(target=serve)
        thread.start()
        url = f"http://127.0.0.1:{listening.getsockname()[1]}"
        answer = run_plain(PlainJob(url, "order", "key", b"{}", True, 10.0))
        thread.join()
    failure = answer.ending.failure
    return answer.data, failure.code if failure is not None else None


class TestAnswer:
    @pytest.mark.parametrize(
        "reply",
        [
            HEAD + b"Content-Length: 5\r\n\r\nwhole",
            HEAD + b"\r\nwhole",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
        ],
    )
    def test_whole(self, reply: bytes) -> None:
        assert answer_of(reply) == (b"whole", None)

    @pytest.mark.parametrize(
        "reply",
        [
            HEAD + b"Content-Length: 6\r\n\r\nwhole",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n6\r\nwhole",
            HEAD,
            b"",
        ],
    )
    def test_cut_short_is_unknown(self, reply: bytes) -> None:
        assert answer_of(reply) == (b"", Code.OUTCOME_UNKNOWN)
