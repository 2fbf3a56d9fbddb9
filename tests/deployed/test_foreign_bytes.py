"""Bytes in a stream that are no event, and what callers get when a stream can't go on."""

import asyncio
from collections.abc import Sequence
from pathlib import Path

import pytest
from endiveworks_standins.site_replica import (
    SIGNATURE,
    Arrival,
    Script,
    buffered_response,
    chunk,
    event,
    reset,
    stream_head,
)

from tests.deployed.harness import DRAFT, TURN, Deployment, Response, run, streams

PIECES = ("a", "b", "c", "d")
BEGUN = event(1, "a") + event(2, "b")
WHOLE = b"".join(event(number, piece) for number, piece in enumerate(PIECES, 1))
STREAM_LINES = (f"Server-Signature: {SIGNATURE}", "Content-Type: text/event-stream")


def head(arrival: Arrival, status: str = "200 OK", *more: str) -> bytes:
    """Returns the head of a response; without further header lines, its body has no framing."""
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {arrival.id}", *STREAM_LINES, *more]
    return "\r\n".join([*lines, "", ""]).encode()


def raw(*parts: bytes | str, ends: str = "closed") -> Script:
    """Returns a script that sends bytes without framing.

    Args:
        parts: The bytes; a text stands for a head with this status.
        ends: How the response ends: closed, reset or kept.
    """

    async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        for part in parts:
            writer.write(part if isinstance(part, bytes) else head(arrival, part))
        await writer.drain()
        await asyncio.sleep(0.01)
        if ends == "reset":
            reset(writer)
        return ends == "kept"

    return script


def in_turn(*scripts: Script) -> Script:
    """Returns a script that runs others one after the other, and the last one from then on."""
    runs: list[str] = []

    async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        runs.append(arrival.id)
        return await scripts[min(len(runs), len(scripts)) - 1](arrival, writer)

    return script


def framed(status: str, body: bytes, *more: str) -> Script:
    """Returns a script that sends a complete response with a length."""

    async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        writer.write(buffered_response(arrival, body, status, more))
        return True

    return script


def chunked(*parts: bytes) -> Script:
    """Returns a script that sends a complete stream in chunks."""

    async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        writer.write(stream_head(arrival) + b"".join(chunk(part) for part in parts) + chunk(b""))
        return True

    return script


def play(folder: Path, target: str, scripts: Sequence[Script]) -> tuple[Response, list[Arrival]]:
    """Sends a request to one replica and returns the response and what the replica got."""
    found: list[tuple[Response, list[Arrival]]] = []

    async def scenario() -> None:
        async with Deployment(folder, {"llm/a": in_turn(*scripts)}) as deployed:
            reply = await deployed.send(target, b"p")
            found.append((reply, deployed.replicas["llm/a"].arrivals))

    run(scenario)
    return found[0]


BAD = "500 Internal Server Error"
FOREIGN = {
    "a second head": ("200 OK", WHOLE),
    "a second head with an error": (BAD, b"it broke\n"),
    "a head inside an event": (b"id: 3\ndata: c", BAD, b"it broke\n"),
    "a head after the line of an id": (b"id: 3\n", BAD, b"it broke\n"),
    "a head after the line of data": (b"id: 3\ndata: c\n", BAD, b"it broke\n"),
    "a head with line feeds": (b"HTTP/1.1 500 Error\nServer-Signature: s\n\nit broke\n\n",),
    "the same inside an event": (b"id: 3\ndata: cHTTP/1.1 500 Error\nServer-Signature: s\n\n",),
    "text": (b"it broke\n\n",),
    "text with a colon": (b"error: it broke\n\n",),
    "text without an end": (b"it broke",),
    "text before the end of an event": (b"id: 3\nit broke\ndata: c\n\n",),
    "an event without an id": (b"data: c\n\n",),
    "an event whose id is no number": (b"id: c\ndata: c\n\n",),
    "an event with two ids": (b"id: 3\nid: 4\ndata: c\n\n",),
    "an event again": (event(2, "b"), event(3, "c")),
    "the first event again": (WHOLE,),
    "a version without an event": (b"weight-versions: 3\n\n",),
    "a header that is no version": (b"server-signature: 3x\nid: 3\ndata: c\n\n",),
    "bytes": (bytes(range(256)) + b"\n\n",),
}


class TestBytesThatAreNoEvent:
    @pytest.mark.parametrize("kind", list(FOREIGN))
    @pytest.mark.parametrize("ends", ["closed", "reset"])
    def test_they_break_off_a_stream_that_may_not_run_again(
        self, tmp_path: Path, kind: str, ends: str
    ) -> None:
        script = raw("200 OK", BEGUN, *FOREIGN[kind], ends=ends)
        reply, arrivals = play(tmp_path, TURN, [script])
        assert (reply.status, reply.complete, len(arrivals)) == (200, False, 1)
        assert reply.body in (BEGUN, b"") if ends == "reset" else reply.body == BEGUN

    @pytest.mark.parametrize("target", [TURN, DRAFT])
    def test_they_end_a_stream_whose_connection_stays_open(
        self, tmp_path: Path, target: str
    ) -> None:
        script = raw("200 OK", BEGUN, BAD, b"it broke\n", ends="kept")
        reply, _ = play(tmp_path, target, [script, streams(*PIECES)])
        assert (reply.complete, reply.body) == (
            (True, WHOLE) if target == DRAFT else (False, BEGUN)
        )

    @pytest.mark.parametrize("kind", list(FOREIGN))
    def test_a_resumable_stream_goes_on_after_its_last_event(
        self, tmp_path: Path, kind: str
    ) -> None:
        script = raw("200 OK", BEGUN, *FOREIGN[kind])
        reply, arrivals = play(tmp_path, DRAFT, [script, streams(*PIECES)])
        assert (reply.status, reply.complete, reply.body) == (200, True, WHOLE)
        assert [arrival.headers.get("last-event-id") for arrival in arrivals] == [None, "2"]

    @pytest.mark.parametrize("kind", list(FOREIGN))
    def test_they_are_not_passed_on_from_chunks(self, tmp_path: Path, kind: str) -> None:
        parts = (
            part if isinstance(part, bytes) else f"HTTP/1.1 {part}\r\nX: y\r\n\r\n".encode()
            for part in FOREIGN[kind]
        )
        reply, _ = play(tmp_path, TURN, [chunked(BEGUN, *parts)])
        assert (reply.complete, reply.body) == (False, BEGUN)

    @pytest.mark.parametrize("kind", [kind for kind in FOREIGN if not kind.endswith("again")])
    def test_before_the_first_event_they_are_a_bad_gateway(self, tmp_path: Path, kind: str) -> None:
        reply, arrivals = play(tmp_path, TURN, [raw("200 OK", *FOREIGN[kind])])
        assert (reply.status, reply.body, len(arrivals)) == (502, b"", 1)

    def test_the_turn_is_not_stored(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            script = raw("200 OK", BEGUN, "200 OK", WHOLE)
            async with Deployment(tmp_path, {"llm/a": script}) as deployed:
                await deployed.send(TURN, b"p", Request_Id="t1")
                reply = await deployed.send(TURN, b"p", Request_Id="t2", Previous_Turn="t1")
                assert reply.status == 404

        run(scenario)

    @pytest.mark.parametrize(
        "data",
        [
            b"weight-versions: 3\nid: 1\ndata: x\n\n",
            b"weight-versions:3\nid: 1\ndata: x\n\n",
            b"id: 1\r\ndata: x\r\ndata: y\r\n\r\n",
            b"data: HTTP/1.1 200 OK\nid: 1\n\n",
            b"id: 1\nevent: token\nretry: 3\n: a comment\ndata:\n\n",
            b"id:0\ndata: x\n\nid:7\ndata: y\n\n",
        ],
    )
    def test_events_in_other_forms_are_passed_on(self, tmp_path: Path, data: bytes) -> None:
        for script in (chunked(data), raw("200 OK", data)):
            reply, _ = play(tmp_path, TURN, [script])
            assert (reply.complete, reply.body) == (True, data)
            tmp_path = tmp_path / "next"


def broken_off(arrival: Arrival) -> bytes:
    return buffered_response(arrival, b"it broke" * 9, BAD)[:-5]


async def send_broken_off(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
    """Sends an error and closes the connection before its end."""
    writer.write(broken_off(arrival))
    return False


async def send_unsigned(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
    """Sends a stream without a signature."""
    data = WHOLE.removeprefix(BEGUN)
    lines = ["HTTP/1.1 200 OK", f"Request-Id: {arrival.id}", f"Content-Length: {len(data)}"]
    writer.write("\r\n".join([*lines, "", ""]).encode() + data)
    return True


async def send_chunked_error(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
    """Sends an error in chunks."""
    writer.write(head(arrival, BAD, "Transfer-Encoding: chunked"))
    writer.write(chunk(b"it broke\n\n") + chunk(WHOLE) + chunk(b""))
    return True


REST = WHOLE.removeprefix(BEGUN)
NOT_RUN = framed("503 Service Unavailable", b"it is full\n\n", "Not-Executed: 1")
BEGINS = raw("200 OK", BEGUN + b"id: 3\nda")
# Responses to the request that resumes a stream after its second event.
FAILURES: dict[str, Script] = {
    "error with a length": framed(BAD, WHOLE),
    "error in chunks": send_chunked_error,
    "error without framing": raw(BAD, WHOLE),
    "error that is broken off": send_broken_off,
    "error that is reset": raw(BAD, WHOLE, ends="reset"),
    "full without saying that it did not run": framed("503 Service Unavailable", WHOLE),
    "too long": framed("413 Content Too Large", REST),
    "no content": framed("204 No Content", b""),
    "a part": framed("206 Partial Content", REST),
    "created": framed("201 Created", REST),
    "no signature": send_unsigned,
    "text": framed("200 OK", b"it broke"),
    "text with a blank line": framed("200 OK", b"it broke\n\n"),
    "from the first event": chunked(WHOLE),
    "from the last event": chunked(event(2, "b"), REST),
    "not run": NOT_RUN,
    "encoded": framed("200 OK", REST, "Content-Encoding: gzip"),
    "no response": raw(),
    "reset": raw(ends="reset"),
    "no HTTP": raw(REST),
}


class TestStreamThatGoesOnElsewhere:
    @pytest.mark.parametrize("kind", list(FAILURES))
    def test_a_failure_of_each_next_replica_breaks_it_off(self, tmp_path: Path, kind: str) -> None:
        reply, arrivals = play(tmp_path, DRAFT, [BEGINS, FAILURES[kind]])
        assert (reply.status, reply.complete, reply.body) == (200, False, BEGUN)
        assert len(arrivals) > 1
        assert all(arrival.headers["last-event-id"] == "2" for arrival in arrivals[1:])

    @pytest.mark.parametrize(
        "kind",
        ["no signature", "text", "from the first event", "encoded", "no response", "no HTTP"],
    )
    def test_after_a_failure_it_goes_on_at_a_sound_replica(self, tmp_path: Path, kind: str) -> None:
        reply, _ = play(tmp_path, DRAFT, [BEGINS, FAILURES[kind], streams(*PIECES)])
        assert (reply.status, reply.complete, reply.body) == (200, True, WHOLE)

    @pytest.mark.parametrize("max_attempts", [1, 2])
    def test_after_refusals_it_goes_on_at_a_sound_replica_if_it_may(
        self, tmp_path: Path, max_attempts: int
    ) -> None:
        async def scenario() -> None:
            begins = in_turn(BEGINS, NOT_RUN)
            scripts = {"llm/a": begins, "llm/b": NOT_RUN, "llm/c": streams(*PIECES)}
            async with Deployment(tmp_path, scripts, max_attempts=max_attempts) as deployed:
                for other in ("b", "c"):
                    deployed.fleet.table.record_failure(other)
                reply = await deployed.send(DRAFT, b"p")
                if max_attempts > 1:
                    assert (reply.status, reply.complete, reply.body) == (200, True, WHOLE)
                    return
                # The first replica has run it, so no other one may.
                assert (reply.status, reply.complete, reply.body) == (200, False, BEGUN)
                others = [deployed.replicas[name].arrivals for name in ("llm/b", "llm/c")]
                assert others == [[], []]

        run(scenario)

    @pytest.mark.parametrize("cut_after", range(len(PIECES)))
    def test_a_second_stream_that_is_broken_off_goes_on_as_well(
        self, tmp_path: Path, cut_after: int
    ) -> None:
        rest = REST[: cut_after * 4]
        reply, _ = play(tmp_path, DRAFT, [BEGINS, raw("200 OK", rest, b"id"), streams(*PIECES)])
        assert (reply.complete, reply.body) == (True, WHOLE)
