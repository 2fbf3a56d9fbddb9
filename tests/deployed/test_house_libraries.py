"""Why the gateway's connections are not cheroot's and urllib3's threads; see docs/STYLE.md."""

import asyncio
import threading
import time
from pathlib import Path

import urllib3
from endiveworks_standins.site_replica import Arrival, SiteReplica, plain_answer

from tests.deployed.harness import ORDER, Deployment, run, write_request

ANSWER_AFTER_S = 1.5
LEAVES_AFTER_S = 0.1
BOUND_S = 0.5  # Work of a caller that left has to end within this time.


async def late(arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
    await asyncio.sleep(ANSWER_AFTER_S)
    writer.write(plain_answer(arrival, b"x"))
    return True


class TestCallerThatLeaves:
    def test_a_thread_in_urllib3_is_held_until_the_answer(self) -> None:
        took: list[float] = []

        async def scenario() -> None:
            replica = SiteReplica(late)
            await replica.start()
            pool = urllib3.HTTPConnectionPool(*replica.address.split(":"), retries=False)

            def forward() -> None:
                began_s = time.monotonic()
                pool.urlopen("GET", "/")
                took.append(time.monotonic() - began_s)

            thread = threading.Thread(target=forward)
            thread.start()
            await asyncio.sleep(LEAVES_AFTER_S)
            # The caller leaves here; closing the pool is all that can be done, and ends nothing.
            pool.close()
            await asyncio.to_thread(thread.join)
            replica.stop()

        run(scenario)
        assert took[0] > LEAVES_AFTER_S + BOUND_S

    def test_a_task_of_the_gateway_ends_with_its_caller(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with Deployment(tmp_path, {"shop/a": late}) as deployed:
                _, writer = await deployed.open()
                write_request(writer, ORDER, b"order", {})
                await asyncio.sleep(LEAVES_AFTER_S)
                writer.close()
                await asyncio.sleep(BOUND_S)
                assert deployed.replicas["shop/a"].left == ["r1"]

        run(scenario)
