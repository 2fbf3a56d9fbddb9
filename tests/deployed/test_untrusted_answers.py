"""Answers of replicas that look complete, or like an answer, and are neither."""

import asyncio
from pathlib import Path

import pytest
from endiveworks_standins.site_replica import SIGNATURE, Arrival, Script, SiteReplica, reset

from tests.deployed.harness import LOOKUP, ORDER, TURN, Deployment, responds, run

UPLOAD = b"x" * (4 * 1024 * 1024)


def has_status(status: str) -> Script:
    """Returns a script that sends a complete response with a status."""
    return responds(b"whole", f"{status} Odd")


class TestStatusThatIsNotDefined:
    """Guards against handing on a status that no answer has, as an answer."""

    @pytest.mark.parametrize("target", [ORDER, TURN])
    @pytest.mark.parametrize("status", ["000", "001", "099", "600", "999"])
    def test_it_is_a_broken_answer(self, tmp_path: Path, target: str, status: str) -> None:
        async def scenario() -> None:
            service = "llm/a" if target == TURN else "shop/a"
            async with Deployment(tmp_path, {service: has_status(status)}) as deployed:
                await deployed.wait_for_disks()
                reply = await deployed.send(target, b"p")
                assert (reply.status, reply.body) == (502, b"")
                assert "server-signature" not in reply.headers

        run(scenario)

    def test_what_may_be_repeated_is_served_by_another_replica(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            replicas = {"shop/a": has_status("600"), "shop/b": responds(b"whole")}
            async with Deployment(tmp_path, replicas) as deployed:
                for _ in range(4):
                    reply = await deployed.send(LOOKUP)
                    assert (reply.status, reply.body) == (200, b"whole")

        run(scenario)

    @pytest.mark.parametrize("status", ["404", "500", "599"])
    def test_others_are_handed_on(self, tmp_path: Path, status: str) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"shop/a": has_status(status)}) as deployed:
                reply = await deployed.send(ORDER, b"p")
                assert (reply.status, reply.body) == (int(status), b"whole")

        run(scenario)


class ResettingReplica(SiteReplica):
    """A replica that answers before a request is in, without a length, and resets."""

    async def start(self) -> None:
        """Listens on a free port."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            name = next(line for line in head.split("\r\n") if line.startswith("request-id:"))
            lines = ["HTTP/1.1 200 OK", name, f"Server-Signature: {SIGNATURE}", "", ""]
            writer.write("\r\n".join(lines).encode() + b"part")
            await writer.drain()
            reset(writer)

        self.server = await asyncio.start_server(serve, "127.0.0.1", 0)
        ip, port = self.server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    def stop(self) -> None:
        """Stops listening."""
        self.server.close()


class TestConnectionResetDuringAnUpload:
    def test_a_part_without_a_length_is_not_complete(self, tmp_path: Path) -> None:
        async def never(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
            raise AssertionError

        async def scenario() -> None:
            deployed = Deployment(tmp_path, {"shop/a": never})
            deployed.replicas["shop/a"] = ResettingReplica(never)
            async with deployed:
                for _ in range(10):
                    reply = await deployed.send(ORDER, UPLOAD)
                    assert (reply.status, reply.body) == (502, b"")

        run(scenario)
