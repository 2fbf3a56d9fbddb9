import socket
import threading

from endiveworks.links.reply_writer import ReplyWriter


class TestReplyWriter:
    def test_a_slow_peer_gets_the_whole_reply_without_blocking_the_caller(self) -> None:
        here, there = socket.socketpair()
        there.settimeout(30.0)
        frame = bytes(range(256)) * 40_000
        ReplyWriter(here).write(frame)
        received = bytearray()
        while len(received) < len(frame):
            received += there.recv(1 << 20)
        assert bytes(received) == frame

    def test_close_interrupts_a_write_to_a_slow_peer(self) -> None:
        here, there = socket.socketpair()
        writer = ReplyWriter(here)
        writer.write(bytes(10_000_000))
        closer = threading.Thread(target=writer.close)
        closer.start()
        closer.join(30)
        assert not closer.is_alive()
        there.close()

    def test_nothing_is_written_after_close(self) -> None:
        here, there = socket.socketpair()
        there.settimeout(30.0)
        writer = ReplyWriter(here)
        writer.close()
        writer.write(b"late")
        assert there.recv(100) == b""
