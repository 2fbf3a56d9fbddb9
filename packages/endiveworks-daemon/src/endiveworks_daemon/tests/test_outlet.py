import socket

import pytest
from endiveworks_daemon.outlet import ChunkWriter, Outlet


class TestChunkWriter:
    def test_frames_bytes_as_a_chunk(self) -> None:
        here, there = socket.socketpair()
        here.settimeout(5.0)
        assert ChunkWriter(here).write(b"x" * 20)
        assert there.recv(100) == b"14\r\n" + b"x" * 20 + b"\r\n"

    def test_a_slow_caller_gets_the_rest_by_flush(self) -> None:
        here, there = socket.socketpair()
        here.settimeout(5.0)
        there.settimeout(5.0)
        writer = ChunkWriter(here)
        frames = 0
        while writer.write(b"y" * 65536):
            frames += 1
        frames += 1
        got = bytearray()
        whole = len(b"10000\r\n\r\n") + 65536
        while len(got) < (frames - 1) * whole:
            got += there.recv(1 << 20)
        writer.flush()
        while len(got) < frames * whole:
            got += there.recv(1 << 20)
        assert bytes(got) == (b"10000\r\n" + b"y" * 65536 + b"\r\n") * frames

    def test_a_caller_that_is_gone_is_noticed_at_the_flush(self) -> None:
        here, there = socket.socketpair()
        here.settimeout(5.0)
        there.close()
        writer = ChunkWriter(here)
        assert not writer.write(b"z")
        with pytest.raises(OSError):
            writer.flush()


class TestOutlet:
    def test_is_closed_until_the_answer_has_begun(self) -> None:
        here, _ = socket.socketpair()
        outlet = Outlet(lambda: ChunkWriter(here))
        assert outlet.writer is None
        outlet.open()
        assert outlet.writer is not None
