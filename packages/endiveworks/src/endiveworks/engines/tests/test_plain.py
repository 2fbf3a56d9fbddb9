import socket
import threading

import pytest
from endiveworks.engines.plain import PlainJob, run_plain
from endiveworks.errors import Code

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n"


def call(reply: bytes) -> tuple[bytes, Code | None]:
    """Runs a call against a server that sends a reply and closes the connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve() -> None:
            conn, _ = listener.accept()
            with conn:
                while b"{}" not in conn.recv(65536):
                    pass
                conn.sendall(reply)

        thread = threading.Thread(target=serve)
        thread.start()
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        response = run_plain(PlainJob(url, "order", "key", b"{}", True, 10.0))
        thread.join()
    failure = response.final_status.failure
    return response.data, failure.code if failure is not None else None


class TestResponse:
    @pytest.mark.parametrize(
        "reply",
        [
            HEAD + b"Content-Length: 5\r\n\r\nwhole",
            HEAD + b"\r\nwhole",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
        ],
    )
    def test_whole(self, reply: bytes) -> None:
        assert call(reply) == (b"whole", None)

    @pytest.mark.parametrize(
        "reply",
        [
            HEAD + b"Content-Length: 6\r\n\r\nwhole",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n6\r\nwhole",
            HEAD,
            HEAD + b"Content-Length:",
            HEAD + b"Content-Length: ",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n0",  # Of "02".
            b"",
        ],
    )
    def test_cut_short_is_unknown(self, reply: bytes) -> None:
        assert call(reply) == (b"", Code.OUTCOME_UNKNOWN)
