"""Responses that belong to no pending request, which faulty replicas write on kept connections."""

import asyncio
from pathlib import Path

import pytest
from endiveworks_daemon.gateway import upstreams
from endiveworks_standins.site_replica import (
    SIGNATURE,
    Arrival,
    Script,
    buffered_response,
    chunk,
    event,
    stream_head,
)
from structlog.testing import capture_logs

from tests.deployed.harness import DRAFT, LOOKUP, ORDER, TURN, Deployment, Response, run

# Time in which the entry takes in what was written between two requests.
SETTLE_S = 0.05
OWN = event(1, "own")


@pytest.fixture(autouse=True)
def long_idle_times(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keeps connections usable on a machine that is slow for a moment."""
    monkeypatch.setattr(upstreams, "FRESH_IDLE_S", 60.0)
    monkeypatch.setattr(upstreams, "DEFAULT_IDLE_TIMEOUT_S", 60.0)


def extra(
    status: str, *more: str, framing: str = "Content-Length: 6", body: str = "extra\n"
) -> bytes:
    """Returns a response without the id of a request; `more` are further header lines."""
    lines = [f"HTTP/1.1 {status}", f"Server-Signature: {SIGNATURE}", *more]
    lines += [framing] if framing else []
    return "\r\n".join([*lines, "", body]).encode()


BUSY = "503 Service Unavailable"
NOT_RUN = extra(BUSY, "Not-Executed: 1")
EXTRA = {
    "503, not run": NOT_RUN,
    "429, not run": extra("429 Too Many Requests", "Not-Executed: 1"),
    "421": extra("421 Misdirected Request"),
    "503": extra(BUSY),
    "500": extra("500 Internal Server Error"),
    "200": extra("200 OK"),
    "204": extra("204 No Content", framing="", body=""),
    "closing": extra(BUSY, "Not-Executed: 1", "Connection: close"),
    "chunked": extra(BUSY, framing="Transfer-Encoding: chunked", body="1\r\nx\r\n0\r\n\r\n"),
    "empty id": extra(BUSY, "Not-Executed: 1", "Request-Id:"),
    "earlier id": extra(BUSY, "Not-Executed: 1", "Request-Id: r0"),
    "three": NOT_RUN * 3,
    "after an interim response": b"HTTP/1.1 102 Processing\r\n\r\n" + NOT_RUN,
}
UNFRAMED = extra(BUSY, "Not-Executed: 1", framing="")


def own_response(arrival: Arrival) -> bytes:
    """Returns the response of a replica, which is a stream where one is due."""
    if ORDER in arrival.line or LOOKUP in arrival.line:
        return buffered_response(arrival, OWN)
    return stream_head(arrival) + chunk(OWN) + chunk(b"")


def precedes(data: bytes, piece_bytes: int = 0, closes: bool = False) -> Script:
    """Returns a script that writes bytes before its response to each request but the first.

    Args:
        data: The bytes.
        piece_bytes: Size of the pieces in which they are written; 0 for all at once.
        closes: Whether the connection is closed in the place of the response.
    """
    runs: list[str] = []

    async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        runs.append(arrival.id)
        if len(runs) > 1:
            size = piece_bytes or len(data) or 1
            for start in range(0, len(data), size):
                writer.write(data[start : start + size])
                await asyncio.sleep(0.001 if piece_bytes else 0)
        if len(runs) > 1 and closes:
            return False
        writer.write(own_response(arrival))
        return True

    return script


def replicas(script: Script) -> dict[str, Script]:
    """Returns a replica of each service with a script, and a sound one."""
    sound = precedes(b"")
    return {"shop/a": script, "shop/b": sound, "llm/m": script, "llm/n": sound}


async def send(deployed: Deployment, target: str, name: str) -> Response:
    """Sends a request that goes to the faulty replica first."""
    deployed.fleet.table.record_failure("b")
    deployed.fleet.table.record_failure("n")
    return await deployed.send(target, b"o", Request_Id=name)


def arrived(deployed: Deployment, target: str) -> tuple[int, int, int]:
    """Returns how many requests the faulty and the sound replica got, and on how many connections.

    The connections are those to the faulty one.
    """
    names = ("shop/a", "shop/b") if target in (ORDER, LOOKUP) else ("llm/m", "llm/n")
    faulty, sound = (deployed.replicas[name] for name in names)
    return len(faulty.arrivals), len(sound.arrivals), faulty.connections


class TestExtraResponses:
    @pytest.mark.parametrize("target", [ORDER, LOOKUP, TURN, DRAFT])
    @pytest.mark.parametrize("kind", list(EXTRA))
    @pytest.mark.parametrize("piece_bytes", [0, 7])
    def test_one_without_the_id_is_skipped_on_a_kept_connection(
        self, tmp_path: Path, target: str, kind: str, piece_bytes: int
    ) -> None:
        async def scenario() -> None:
            script = precedes(EXTRA[kind], piece_bytes)
            # With a short target, a lookup that takes longer would go to the other replica as well.
            route = {"target_latency_ms": 3_000}
            async with Deployment(tmp_path, replicas(script), **route) as deployed:
                for name in ("r0", "r1"):
                    reply = await send(deployed, target, name)
                    assert (reply.status, reply.body, reply.complete) == (200, OWN, True)
                assert arrived(deployed, target) == (2, 0, 1)

        run(scenario)

    @pytest.mark.parametrize(
        "data", [UNFRAMED, NOT_RUN * 9, NOT_RUN[:40], b"what is this\r\n\r\n", b"\r\n"]
    )
    @pytest.mark.parametrize("target", [ORDER, TURN])
    @pytest.mark.parametrize("closes", [False, True])
    def test_a_request_whose_response_is_lost_among_them_is_not_refused_or_repeated(
        self, tmp_path: Path, data: bytes, target: str, closes: bool
    ) -> None:
        async def scenario() -> None:
            script = precedes(data, closes=closes)
            async with Deployment(tmp_path, replicas(script)) as deployed:
                await send(deployed, target, "r0")
                reply = await send(deployed, target, "r1")
                assert reply.status == 502
                assert arrived(deployed, target) == (2, 0, 1)

        run(scenario)

    @pytest.mark.parametrize("data", [UNFRAMED, NOT_RUN * 9])
    def test_a_lookup_whose_response_is_lost_among_them_is_repeated(
        self, tmp_path: Path, data: bytes
    ) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, replicas(precedes(data))) as deployed:
                await send(deployed, LOOKUP, "r0")
                reply = await send(deployed, LOOKUP, "r1")
                assert (reply.status, reply.body) == (200, OWN)
                assert arrived(deployed, LOOKUP)[:2] == (2, 1)

        run(scenario)

    @pytest.mark.parametrize("target", [ORDER, TURN])
    @pytest.mark.parametrize("when", ["glued", "between", "begun between"])
    def test_one_before_the_next_request_is_sent(
        self, tmp_path: Path, target: str, when: str
    ) -> None:
        writers: list[asyncio.StreamWriter] = []

        async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
            writers.append(writer)
            writer.write(own_response(arrival) + (NOT_RUN if when == "glued" else b""))
            return True

        async def scenario() -> None:
            async with Deployment(tmp_path, replicas(script)) as deployed:
                await send(deployed, target, "r0")
                if when != "glued":
                    writers[0].write(NOT_RUN if when == "between" else NOT_RUN[:9])
                    await asyncio.sleep(SETTLE_S)
                reply = await send(deployed, target, "r1")
                assert (reply.status, reply.body) == (200, OWN)
                assert arrived(deployed, target) == (2, 0, 2)

        run(scenario)

    def test_a_response_without_an_id_on_a_new_connection_is_taken(self, tmp_path: Path) -> None:
        async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
            writer.write(NOT_RUN)
            return True

        async def scenario() -> None:
            async with Deployment(tmp_path, replicas(script)) as deployed:
                assert (await send(deployed, ORDER, "r0")).body == OWN
                assert arrived(deployed, ORDER) == (1, 1, 1)

        run(scenario)

    def test_one_on_a_new_connection_after_a_response_to_another_request(
        self, tmp_path: Path
    ) -> None:
        async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
            writer.write(EXTRA["earlier id"] + NOT_RUN + own_response(arrival))
            return True

        async def scenario() -> None:
            async with Deployment(tmp_path, replicas(script)) as deployed:
                assert (await send(deployed, ORDER, "r1")).body == OWN
                assert arrived(deployed, ORDER) == (1, 0, 1)

        run(scenario)

    @pytest.mark.parametrize("name", ["", "r0"], ids=["no id", "the id of an earlier request"])
    def test_a_request_that_its_id_does_not_tell_apart_has_a_new_connection(
        self, tmp_path: Path, name: str
    ) -> None:
        async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
            if arrival.body == b"refused":
                writer.write(buffered_response(arrival, b"", BUSY, ["Not-Executed: 1"]))
            else:
                writer.write(own_response(arrival))
            return True

        async def scenario() -> None:
            async with Deployment(tmp_path, {"shop/a": script}) as deployed:
                await deployed.send(ORDER, b"refused", Request_Id=name)
                await deployed.send(ORDER, b"o", Request_Id="r2")
                await deployed.send(ORDER, b"o", Request_Id=name)
                assert arrived_at(deployed) == (3, 2)

        def arrived_at(deployed: Deployment) -> tuple[int, int]:
            replica = deployed.replicas["shop/a"]
            return len(replica.arrivals), replica.connections

        run(scenario)

    def test_its_limit_and_its_leaving_have_no_effect_and_it_is_logged(
        self, tmp_path: Path
    ) -> None:
        data = extra(BUSY, "Not-Executed: 1", "Server-Limit: 0.01", "Server-Leaving: 1")

        async def scenario() -> None:
            async with Deployment(tmp_path, replicas(precedes(data))) as deployed:
                for name in ("r0", "r1", "r2"):
                    assert (await send(deployed, ORDER, name)).body == OWN
                assert arrived(deployed, ORDER) == (3, 0, 1)

        with capture_logs() as lines:
            run(scenario)
        assert not {"replica_leaving", "replica_limit_changed"} & {line["event"] for line in lines}
        skipped = [line for line in lines if line["event"] == "response_skipped"]
        found = [(line["request"], line["peer"], line["status"]) for line in skipped]
        assert found == [("r1", "a", 503), ("r2", "a", 503)]
