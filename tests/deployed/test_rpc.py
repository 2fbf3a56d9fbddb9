"""RPC clients on connections that stop delivering data without an error."""

import asyncio

import msgspec
from endiveworks.turns.messages import PING, Ping, Pong
from endiveworks_daemon import rpc
from returns.result import Success

from tests.soak.proxy import Proxy

TIMEOUT_S = 0.2


async def _pong(message: bytes) -> bytes:
    return msgspec.msgpack.encode(Pong("folder"))


async def _ping(client: rpc.RpcClient) -> bool:
    return isinstance(await client.call(PING, Ping("a"), Pong, TIMEOUT_S), Success)


class TestSilentConnections:
    def test_a_silent_connection_is_replaced(self) -> None:
        """Found by the soak (seed 111): a client kept using a silent connection forever."""

        async def scenario() -> None:
            server = await rpc.serve("127.0.0.1:0", {PING: _pong})
            proxy = Proxy(server.address)
            await proxy.start("127.0.0.1")
            client = rpc.RpcClient(proxy.address)
            assert await _ping(client)
            proxy.silence()
            assert not await _ping(client)
            assert await _ping(client)
            client.close()
            proxy.stop()
            server.close()

        asyncio.run(asyncio.wait_for(scenario(), 30))

    def test_a_slow_reply_does_not_close_a_connection_that_delivers_others(self) -> None:
        async def slow(message: bytes) -> bytes:
            await asyncio.sleep(2 * TIMEOUT_S)
            return await _pong(message)

        async def scenario() -> None:
            server = await rpc.serve("127.0.0.1:0", {PING: _pong, "slow": slow})
            client = rpc.RpcClient(server.address)
            late = asyncio.create_task(client.call("slow", Ping("a"), Pong, 3 * TIMEOUT_S))
            short = asyncio.create_task(client.call("slow", Ping("a"), Pong, TIMEOUT_S))
            for _ in range(10):
                assert await _ping(client)
                await asyncio.sleep(TIMEOUT_S / 5)
            assert not isinstance(await short, Success)
            assert isinstance(await late, Success)
            client.close()
            server.close()

        asyncio.run(asyncio.wait_for(scenario(), 30))
