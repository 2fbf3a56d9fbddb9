"""Responses that end with their connection, as callers without chunked encoding get them."""

import asyncio
from pathlib import Path

import pytest
from endiveworks_standins.site_replica import Arrival, chunk, event, stream_head
from endiveworks_standins.site_replica import reset as reset_connection

from tests.deployed.harness import TURN, Deployment, run


class TestCutResponseWithoutFraming:
    def test_a_cut_stream_is_reset_if_its_end_is_that_of_the_connection(
        self, tmp_path: Path
    ) -> None:
        async def script(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
            writer.write(stream_head(arrival) + chunk(event(1, "x")))
            await writer.drain()
            await asyncio.sleep(0.05)
            reset_connection(writer)
            return False

        async def scenario() -> None:
            async with Deployment(tmp_path, {"llm/a": script}) as deployed:
                reader, writer = await deployed.open()
                head = f"POST {TURN} HTTP/1.0\r\nHost: site.example\r\nRequest-Id: t1\r\n"
                writer.write(f"{head}Content-Length: 3\r\n\r\none".encode())
                await reader.readuntil(b"\n\n")
                try:
                    with pytest.raises(ConnectionResetError):
                        await reader.read()
                finally:
                    writer.close()

        run(scenario)
