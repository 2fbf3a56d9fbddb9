"""RPC clients on connections that stop delivering data without an error."""

import asyncio
from typing import Any, NamedTuple

import msgspec
import pytest
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


class Echo(NamedTuple):
    """A message, or a reply, with a payload."""

    data: bytes


class TestPendingBytes:
    """A process read all calls that peers sent at once, and buffered all replies (review/7)."""

    CALLS = 24
    PAYLOAD = b"x" * 1024 * 1024

    def test_long_calls_are_taken_on_one_after_the_other(self) -> None:
        running = {"now": 0, "peak": 0}

        async def slow(message: memoryview) -> bytes:
            running["now"] += len(message)
            running["peak"] = max(running["peak"], running["now"])
            await asyncio.sleep(0.05)
            running["now"] -= len(message)
            return await _pong(message)

        async def scenario() -> None:
            server = await rpc.serve("127.0.0.1:0", {PING: _pong, "slow": slow})
            clients = [rpc.RpcClient(server.address) for _ in range(self.CALLS)]
            calls = [
                asyncio.create_task(client.call("slow", Echo(self.PAYLOAD), Pong, 20.0))
                for client in clients
            ]
            checker = rpc.RpcClient(server.address)
            for _ in range(5):
                assert await _ping(checker)  # Isn't kept waiting by them.
                await asyncio.sleep(0.05)
            assert all(isinstance(reply, Success) for reply in await asyncio.gather(*calls))
            assert running["peak"] <= rpc.MAX_PENDING_BYTES
            for client in (*clients, checker):
                client.close()
            server.close()

        asyncio.run(asyncio.wait_for(scenario(), 60))

    def test_long_replies_are_built_one_after_the_other(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Each was read from the disk at once, and waited for its turn to be sent."""
        unsent = {"now": 0, "peak": 0}
        size = rpc.MAX_PENDING_BYTES // 2
        send_all = rpc._send_all

        def build() -> bytes:
            unsent["now"] += 1
            unsent["peak"] = max(unsent["peak"], unsent["now"])
            return msgspec.msgpack.encode(Echo(b"x" * size))

        async def send_slowly(*args: Any) -> None:
            await send_all(*args)
            await asyncio.sleep(0.01)
            unsent["now"] -= 1

        async def long(message: memoryview) -> rpc.LongReply:
            return rpc.LongReply(size, build)

        async def scenario() -> None:
            monkeypatch.setattr(rpc, "_send_all", send_slowly)
            server = await rpc.serve("127.0.0.1:0", {PING: _pong, "long": long})
            clients = [rpc.RpcClient(server.address) for _ in range(self.CALLS)]
            calls = (client.call("long", Ping("a"), Echo, 20.0) for client in clients)
            for found in await asyncio.gather(*calls):
                assert len(found.unwrap().data) == size
            assert unsent["peak"] <= 2
            for client in clients:
                client.close()
            server.close()

        asyncio.run(asyncio.wait_for(scenario(), 60))

    def test_a_reply_that_cannot_be_built_fails_alone(self) -> None:
        async def scenario() -> None:
            def build() -> bytes:
                raise OSError("damaged")

            async def long(message: memoryview) -> rpc.LongReply:
                return rpc.LongReply(rpc.MAX_PENDING_BYTES, build)

            server = await rpc.serve("127.0.0.1:0", {PING: _pong, "long": long})
            client = rpc.RpcClient(server.address)
            calls = [client.call("long", Ping("a"), Echo, TIMEOUT_S) for _ in range(2)]
            found = await asyncio.gather(*calls)
            assert not any(isinstance(reply, Success) for reply in found)
            assert await _ping(client)
            client.close()
            server.close()

        asyncio.run(asyncio.wait_for(scenario(), 60))

    def test_a_single_call_longer_than_that_is_served(self) -> None:
        async def scenario() -> None:
            async def echo(message: memoryview) -> bytes:
                return bytes(message)

            server = await rpc.serve("127.0.0.1:0", {"echo": echo})
            client = rpc.RpcClient(server.address)
            sent = Echo(b"x" * (rpc.MAX_PENDING_BYTES + 1))
            assert (await client.call("echo", sent, Echo, 20.0)).unwrap() == sent
            client.close()
            server.close()

        asyncio.run(asyncio.wait_for(scenario(), 60))

    @pytest.mark.parametrize("size", [0, 255, 256, 65_535, 65_536])
    def test_payloads_of_every_length_class_arrive(self, size: int) -> None:
        async def scenario() -> None:
            async def echo(message: memoryview) -> bytes:
                return bytes(message)

            server = await rpc.serve("127.0.0.1:0", {"echo": echo})
            client = rpc.RpcClient(server.address)
            sent = Echo(b"x" * size)
            assert (await client.call("echo", sent, Echo, 20.0)).unwrap() == sent
            client.close()
            server.close()

        asyncio.run(asyncio.wait_for(scenario(), 60))

    def test_a_peer_that_does_not_read_a_reply_is_cut_off(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(rpc, "SEND_TIMEOUT_S", 0.2)

        async def scenario() -> None:
            async def reply(message: memoryview) -> bytes:
                return msgspec.msgpack.encode(Echo(b"x" * rpc.MAX_PENDING_BYTES))

            server = await rpc.serve("127.0.0.1:0", {PING: _pong, "long": reply})
            ip, _, port = server.address.rpartition(":")
            reader, writer = await asyncio.open_connection(ip, int(port), limit=1024)
            call = msgspec.msgpack.encode((1, "long", b""))
            writer.write(len(call).to_bytes(4, "little") + call)
            client = rpc.RpcClient(server.address)
            # Its reply waits until the other one has been given up.
            found = await client.call("long", Ping("a"), Echo, 20.0)
            assert len(found.unwrap().data) == rpc.MAX_PENDING_BYTES
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await reader.readexactly(rpc.MAX_PENDING_BYTES)
            writer.close()
            client.close()
            server.close()

        asyncio.run(asyncio.wait_for(scenario(), 60))

    def test_a_call_that_does_not_arrive_gives_its_room_back(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(rpc, "RECEIVE_TIMEOUT_S", 0.2)

        async def scenario() -> None:
            async def echo(message: memoryview) -> bytes:
                return bytes(message)

            server = await rpc.serve("127.0.0.1:0", {"echo": echo})
            ip, _, port = server.address.rpartition(":")
            _, writer = await asyncio.open_connection(ip, int(port))
            writer.write(rpc.MAX_PENDING_BYTES.to_bytes(4, "little") + b"begun")
            client = rpc.RpcClient(server.address)
            sent = Echo(self.PAYLOAD)
            assert (await client.call("echo", sent, Echo, 20.0)).unwrap() == sent
            writer.close()
            client.close()
            server.close()

        asyncio.run(asyncio.wait_for(scenario(), 60))
