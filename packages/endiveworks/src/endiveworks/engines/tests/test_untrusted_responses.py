"""Responses that look complete, or like an answer, and are neither."""

import socket
import struct
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from endiveworks.checked_http import pool_manager
from endiveworks.client.caller import connect, open_program
from endiveworks.engines.chat import ChatJob, run_chat
from endiveworks.engines.plain import PlainJob, PlainResponse, run_plain
from endiveworks.errors import Code
from returns.result import Success

UPLOAD = b"x" * (4 * 1024 * 1024)
UNFRAMED = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"
RESET = struct.pack("ii", 1, 0)


@contextmanager
def server(reply: bytes, reset_after_s: float | None = None) -> Iterator[str]:
    """Serves one connection and yields the address.

    Args:
        reply: Sent as soon as the first bytes of the request have come.
        reset_after_s: Time after which the connection is reset, with the rest of the request
            unread; None to read all that comes and to end the connection.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve() -> None:
            conn, _ = listener.accept()
            with conn:
                conn.recv(1024)
                conn.sendall(reply)
                if reset_after_s is not None:
                    time.sleep(reset_after_s)
                    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    return
                conn.shutdown(socket.SHUT_WR)
                while conn.recv(65536):
                    pass

        thread = threading.Thread(target=serve)
        thread.start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"
        thread.join()


def call(address: str, body: bytes) -> PlainResponse:
    """Runs a call of a plain service that must not be repeated."""
    return run_plain(PlainJob(f"http://{address}", "order", "key", body, True, 10.0))


def failed_as(response: PlainResponse) -> Code | None:
    """Returns the code of a call's failure; None if it succeeded."""
    failure = response.final_status.failure
    return failure.code if failure is not None else None


class TestConnectionResetDuringAnUpload:
    @pytest.mark.parametrize("reset_after_s", [0.0, 0.02])
    def test_a_part_without_a_length_is_not_complete(self, reset_after_s: float) -> None:
        for _ in range(5):
            with server(UNFRAMED, reset_after_s) as address:
                response = call(address, UPLOAD)
            assert (response.data, failed_as(response)) == (b"", Code.OUTCOME_UNKNOWN)

    @pytest.mark.parametrize("status", [b"400 Bad Request", b"404 Not Found"])
    def test_a_part_of_an_engines_error_is_not_complete(self, status: bytes) -> None:
        part = UNFRAMED.replace(b"200 OK", status)
        emitted: list[bytes] = []
        with server(part, 0.02) as address:
            job = ChatJob(
                f"http://{address}", "r", UPLOAD, 5.0, lambda data: not emitted.append(data)
            )
            final_status = run_chat(pool_manager(), job)
        assert final_status.failure is not None and not emitted

    def test_a_part_is_not_complete_to_a_caller(self) -> None:
        part = UNFRAMED.replace(b"part", b'{"id": "p", "next_call": 1}')
        with server(part, 0.02) as address:
            deployment = connect([address], "t", timeout_s=1.0, silence_s=1.0)
            program = open_program(deployment, "x" * len(UPLOAD), "front", budget_tokens=1)
        assert not isinstance(program, Success)

    def test_a_response_with_a_length_is_complete(self) -> None:
        reply = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
        with server(reply) as address:
            response = call(address, UPLOAD)
        assert (response.data, failed_as(response)) == (b"whole", None)

    def test_a_response_without_a_length_to_a_request_that_was_read_is_complete(self) -> None:
        with server(UNFRAMED) as address:
            response = call(address, UPLOAD)
        assert (response.data, failed_as(response)) == (b"part", None)


class TestStatusThatIsNoFinalOne:
    @pytest.mark.parametrize("status", ["000", "001", "099", "102", "103", "600", "999"])
    def test_it_is_no_answer_of_a_plain_service(self, status: str) -> None:
        reply = f"HTTP/1.1 {status} Odd\r\nContent-Length: 5\r\n\r\nwhole".encode()
        with server(reply) as address:
            response = call(address, b"{}")
        assert (response.final_status.status, failed_as(response)) == (502, Code.OUTCOME_UNKNOWN)

    @pytest.mark.parametrize("status", ["000", "099", "103", "600"])
    def test_it_is_no_answer_of_an_engine(self, status: str) -> None:
        reply = f"HTTP/1.1 {status} Odd\r\nContent-Length: 5\r\n\r\nwhole".encode()
        emitted: list[bytes] = []
        with server(reply) as address:
            job = ChatJob(
                f"http://{address}", "r", b"{}", 5.0, lambda data: not emitted.append(data)
            )
            final_status = run_chat(pool_manager(), job)
        assert (final_status.status, emitted) == (502, [])
        assert final_status.failure is not None and not final_status.failure.not_run

    @pytest.mark.parametrize("status", ["200", "299", "404", "599"])
    def test_others_are_handed_on(self, status: str) -> None:
        reply = f"HTTP/1.1 {status} Odd\r\nContent-Length: 5\r\n\r\nwhole".encode()
        with server(reply) as address:
            response = call(address, b"{}")
        assert (response.final_status.status, response.data) == (int(status), b"whole")
