import socket

import pytest
from endiveworks_daemon.response_sink import ChunkWriter, ResponseSink


class TestChunkWriter:
    def test_frames_bytes_as_a_chunk(self) -> None:
        local, remote = socket.socketpair()
        local.settimeout(5.0)
        assert ChunkWriter(local).write(b"x" * 20)
        assert remote.recv(100) == b"14\r\n" + b"x" * 20 + b"\r\n"

    def test_flush_sends_the_rest_to_a_slow_caller(self) -> None:
        local, remote = socket.socketpair()
        local.settimeout(5.0)
        remote.settimeout(5.0)
        writer = ChunkWriter(local)
        frames = 0
        while writer.write(b"y" * 65536):
            frames += 1
        frames += 1
        received = bytearray()
        frame_bytes = len(b"10000\r\n\r\n") + 65536
        while len(received) < (frames - 1) * frame_bytes:
            received += remote.recv(1 << 20)
        writer.flush()
        while len(received) < frames * frame_bytes:
            received += remote.recv(1 << 20)
        assert bytes(received) == (b"10000\r\n" + b"y" * 65536 + b"\r\n") * frames

    def test_flush_raises_if_the_caller_has_disconnected(self) -> None:
        local, remote = socket.socketpair()
        local.settimeout(5.0)
        remote.close()
        writer = ChunkWriter(local)
        assert not writer.write(b"z")
        with pytest.raises(OSError):
            writer.flush()


class TestResponseSink:
    def test_has_no_writer_before_it_is_opened(self) -> None:
        local, _ = socket.socketpair()
        sink = ResponseSink(lambda: ChunkWriter(local))
        assert sink.writer is None
        sink.open()
        assert sink.writer is not None
