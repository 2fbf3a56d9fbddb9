import socket
import threading

from endiveworks.links.replies import Replies


class TestReplies:
    def test_a_slow_peer_gets_the_whole_reply_without_delaying_the_writer(self) -> None:
        here, there = socket.socketpair()
        there.settimeout(30.0)
        frame = bytes(range(256)) * 40_000
        Replies(here).write(frame)
        got = bytearray()
        while len(got) < len(frame):
            got += there.recv(1 << 20)
        assert bytes(got) == frame

    def test_closing_ends_a_reply_that_waits_for_a_slow_peer(self) -> None:
        here, there = socket.socketpair()
        replies = Replies(here)
        replies.write(bytes(10_000_000))
        closer = threading.Thread(target=replies.close)
        closer.start()
        closer.join(30)
        assert not closer.is_alive()
        there.close()

    def test_nothing_is_written_once_closed(self) -> None:
        here, there = socket.socketpair()
        there.settimeout(30.0)
        replies = Replies(here)
        replies.close()
        replies.write(b"late")
        assert there.recv(100) == b""
