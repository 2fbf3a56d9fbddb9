import socket

import pytest
from endiveworks.links.buffered_socket import BufferedSocket
from thrift.transport.TTransport import TFramedTransport, TTransportException


class TestBufferedSocket:
    def test_frames_that_arrive_together_are_read_one_by_one(self) -> None:
        here, there = socket.socketpair()
        sock = BufferedSocket()
        sock.setHandle(here)
        transport = TFramedTransport(sock)
        there.sendall(b"\x00\x00\x00\x03one\x00\x00\x00\x00\x00\x00\x00\x03two")
        assert transport.read(3) == b"one"
        transport.readFrame()
        assert transport.read(3) == b"two"

    def test_a_frame_larger_than_the_buffer_is_read_whole(self) -> None:
        here, there = socket.socketpair()
        sock = BufferedSocket()
        sock.setHandle(here)
        body = bytes(range(256)) * 600
        there.sendall(len(body).to_bytes(4, "big") + body)
        assert TFramedTransport(sock).read(len(body)) == body

    def test_a_connection_closed_within_a_frame_raises(self) -> None:
        here, there = socket.socketpair()
        sock = BufferedSocket()
        sock.setHandle(here)
        there.sendall(b"\x00\x00\x00\x03on")
        there.close()
        with pytest.raises(TTransportException):
            TFramedTransport(sock).read(3)
