"""Responses that end at each of their bytes, with the end of their connection or a reset."""

import asyncio
import itertools
from pathlib import Path

import pytest
from endiveworks_daemon.gateway import upstreams
from endiveworks_standins.site_replica import SIGNATURE, Arrival, Script, chunk, event, reset

from tests.deployed.harness import DRAFT, ORDER, TURN, Deployment, Response, run, streams

EVENTS = event(1, "a") + event(2, "b")
FRAMINGS = ["length", "chunks", "none"]


@pytest.fixture(autouse=True)
def long_idle_times(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keeps connections usable on a machine that is slow for a moment."""
    monkeypatch.setattr(upstreams, "FRESH_IDLE_S", 60.0)
    monkeypatch.setattr(upstreams, "DEFAULT_IDLE_TIMEOUT_S", 60.0)


def encoded(arrival: Arrival, framing: str) -> tuple[bytes, bytes]:
    """Returns head and body of a response with two events."""
    lines = ["HTTP/1.1 200 OK", f"Request-Id: {arrival.id}", f"Server-Signature: {SIGNATURE}"]
    body = EVENTS
    if framing == "length":
        lines.append(f"Content-Length: {len(EVENTS)}")
    if framing == "chunks":
        lines.append("Transfer-Encoding: chunked")
        body = chunk(event(1, "a")) + chunk(event(2, "b")) + chunk(b"")
    return "\r\n".join([*lines, "", ""]).encode(), body


class Cut:
    """A replica whose responses end early, if their request says so.

    A request names the bytes that are sent. A response to one that names none has a length, and the
    connection is kept. A request that comes again is answered with a stream.

    Args:
        framing: One of FRAMINGS.
        resets: Whether the connection is reset after the bytes.
    """

    def __init__(self, framing: str, resets: bool) -> None:
        self._framing = framing
        self._resets = resets
        self._ids: set[str] = set()
        self._stream = streams("a", "b")

    async def serve(self, arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        """Sends a response, or its beginning."""
        if arrival.id in self._ids:
            return await self._stream(arrival, writer)
        self._ids.add(arrival.id)
        size = arrival.body.partition(b" ")[0]
        if size == b"all":
            writer.write(b"".join(encoded(arrival, "length")))
            return True
        writer.write(b"".join(encoded(arrival, self._framing))[: int(size)])
        await writer.drain()
        if self._resets:
            await asyncio.sleep(0.002)  # The bytes before a reset would be lost.
            reset(writer)
        return False


async def send_cut(deployed: Deployment, target: str, kept: bool, size: int) -> Response:
    """Sends a request, on a kept connection to the replica or a new one.

    Args:
        deployed: The deployment.
        target: Path of the request.
        kept: Whether the connection has served another request before.
        size: Bytes of the response that are sent.
    """
    deployed.pool.close_expired(frozenset())
    name = f"q{next(_numbers):04}"
    if kept:
        assert (await deployed.send(target, b"all " + name.encode(), Request_Id=name)).complete
        name += "x"
    # A digest of its own, so that no cut counts against the next request.
    return await deployed.send(target, f"{size} {name}".encode(), Request_Id=name)


_numbers = itertools.count()


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kept", [False, True], ids=["first", "kept"])
@pytest.mark.parametrize("framing", FRAMINGS)
class TestCutsAtEachByte:
    def play(
        self, folder: Path, target: str, framing: str, kept: bool, resets: bool, in_body: bool
    ) -> list[tuple[int, Response]]:
        """Returns for each byte of the head or body after how many the end came, and the reply."""
        found: list[tuple[int, Response]] = []

        async def scenario() -> None:
            script = Cut(framing, resets).serve
            scripts: dict[str, Script] = {"shop/a": script, "llm/m": script}
            arrival = Arrival("", {"request-id": "q0000x" if kept else "q0000"}, b"")
            head, body = encoded(arrival, framing)
            sizes = range(len(head), len(head) + len(body) + 1) if in_body else range(len(head))
            async with Deployment(folder, scripts) as deployed:
                await deployed.wait_for_disks()
                for size in sizes:
                    reply = await send_cut(deployed, target, kept, size)
                    found.append((size - len(head), reply))
                assert deployed.pool.opened == len(sizes) or target == DRAFT

        run(scenario)
        return found

    @pytest.mark.parametrize("target", [ORDER, TURN])
    def test_a_head_that_is_cut_is_no_response(
        self, tmp_path: Path, target: str, framing: str, kept: bool, resets: bool
    ) -> None:
        for size, reply in self.play(tmp_path, target, framing, kept, resets, in_body=False):
            assert (reply.status, reply.body) == (502, b""), size

    def test_a_body_that_is_cut_is_lost(
        self, tmp_path: Path, framing: str, kept: bool, resets: bool
    ) -> None:
        found = self.play(tmp_path, ORDER, framing, kept, resets, in_body=True)
        last = found[-1][0]
        for size, reply in found:
            if framing == "none" and not resets:
                assert (reply.status, reply.body) == (200, EVENTS[:size])
            elif size == last and framing != "none":
                assert (reply.status, reply.body) == (200, EVENTS)
            else:
                assert (reply.status, reply.body) == (502, b""), size

    def test_a_stream_that_is_cut_has_no_end(
        self, tmp_path: Path, framing: str, kept: bool, resets: bool
    ) -> None:
        first = len(event(1, "a"))
        found = self.play(tmp_path, TURN, framing, kept, resets, in_body=True)
        last = found[-1][0]
        for size, reply in found:
            ended = size == last and (framing != "none" or not resets)
            if framing == "none" and not resets and size == first:
                assert (reply.complete, reply.body) == (True, EVENTS[:first])
            elif ended:
                assert (reply.status, reply.complete, reply.body) == (200, True, EVENTS)
            else:
                assert reply.status == 502 or not reply.complete, size
                assert reply.body in (b"", EVENTS[:first], EVENTS), size

    @pytest.mark.parametrize("in_body", [False, True], ids=["head", "body"])
    def test_a_resumable_stream_that_is_cut_goes_on(
        self, tmp_path: Path, framing: str, kept: bool, resets: bool, in_body: bool
    ) -> None:
        first = len(event(1, "a"))
        for size, reply in self.play(tmp_path, DRAFT, framing, kept, resets, in_body):
            ended = framing == "none" and not resets and size == first
            expected = EVENTS[:first] if ended else EVENTS
            assert (reply.status, reply.complete, reply.body) == (200, True, expected), size
