"""Shows why the gateway doesn't use cheroot and urllib3; see docs/STYLE.md.

A thread blocked in urllib3 can't be cancelled when its caller disconnects; an asyncio task can.
"""

import asyncio
import threading
import time
from pathlib import Path

import urllib3
from endiveworks_standins.site_replica import Arrival, SiteReplica, buffered_response

from tests.deployed.harness import ORDER, Deployment, run, write_request

RESPONSE_DELAY_S = 1.5
DISCONNECT_AFTER_S = 0.1
STOP_WITHIN_S = 0.5  # Work for a caller has to end within this time of its disconnect.


async def respond_late(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
    await asyncio.sleep(RESPONSE_DELAY_S)
    writer.write(buffered_response(arrival, b"x"))
    return True


class TestCallerDisconnects:
    def test_a_thread_in_urllib3_blocks_until_the_response(self) -> None:
        took: list[float] = []

        async def scenario() -> None:
            replica = SiteReplica(respond_late)
            await replica.start()
            pool = urllib3.HTTPConnectionPool(*replica.address.split(":"), retries=False)

            def forward() -> None:
                began_s = time.monotonic()
                pool.urlopen("GET", "/")
                took.append(time.monotonic() - began_s)

            thread = threading.Thread(target=forward)
            thread.start()
            await asyncio.sleep(DISCONNECT_AFTER_S)
            # The caller disconnects here. Closing the pool is all that can be done, and it doesn't
            # interrupt the request.
            pool.close()
            await asyncio.to_thread(thread.join)
            replica.stop()

        run(scenario)
        assert took[0] > DISCONNECT_AFTER_S + STOP_WITHIN_S

    def test_a_task_of_the_gateway_is_cancelled(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"shop/a": respond_late}) as deployed:
                _, writer = await deployed.open()
                write_request(writer, ORDER, b"order", {})
                await asyncio.sleep(DISCONNECT_AFTER_S)
                writer.close()
                await asyncio.sleep(STOP_WITHIN_S)
                assert deployed.replicas["shop/a"].disconnected == ["r1"]

        run(scenario)
