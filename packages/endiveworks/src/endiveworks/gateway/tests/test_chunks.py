from itertools import pairwise

import h11
import pytest
from endiveworks.gateway.chunks import ChunkJoiner, MalformedChunkError
from hypothesis import given
from hypothesis import strategies as st

MAX_LINE_BYTES = 64
_HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
_TAIL = st.sampled_from([b"", b"GET /next HTTP/1.1\r\n"])
_EXTENSION = st.sampled_from([b"", b";a=b", b";x", b" "])


def parse(data: bytes) -> tuple[bytes, bytes, int]:
    """Returns what a parser makes of a body: its data, what follows it, and its chunks."""
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(_HEAD + data)
    conn.next_event()
    body, chunks = b"", 0
    while isinstance(event := conn.next_event(), h11.Data):
        body += event.data
        chunks += 1
    assert isinstance(event, h11.EndOfMessage)
    return body, conn.trailing_data[0], chunks


def joined(data: bytes, cuts: list[int]) -> bytes:
    """Returns what a joiner makes of bytes that arrive in pieces."""
    joiner = ChunkJoiner(MAX_LINE_BYTES)
    marks = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    return b"".join(joiner.feed(data[start:end]) for start, end in pairwise(marks))


class TestChunkJoiner:
    @given(
        chunks=st.lists(st.tuples(st.binary(min_size=1, max_size=40), _EXTENSION), max_size=20),
        trailer=st.sampled_from([b"", b"A: b\r\n"]),
        tail=_TAIL,
        cuts=st.lists(st.integers(0, 2000), max_size=20),
    )
    def test_the_parser_sees_the_same_body(
        self, chunks: list[tuple[bytes, bytes]], trailer: bytes, tail: bytes, cuts: list[int]
    ) -> None:
        data = b"".join(b"%x%b\r\n%b\r\n" % (len(part), more, part) for part, more in chunks)
        data += b"0\r\n" + trailer + b"\r\n" + tail
        body, rest, _ = parse(joined(data, cuts))
        assert (body, rest) == parse(data)[:2]

    def test_many_chunks_become_one(self) -> None:
        data = b"1\r\nx\r\n" * 1000 + b"0\r\n\r\n"
        assert parse(data)[2] == 1000
        assert parse(joined(data, [])) == (b"x" * 1000, b"", 1)

    @pytest.mark.parametrize(
        "data",
        [
            b"x\r\n",
            b"-1\r\nx\r\n",
            b"3\r\nabc5\r\nhello\r\n0\r\n\r\n",
            b"3\r\nabc\n0\r\n\r\n",
            b"3\n",
            b"\r\n",
            b"1" * 21 + b"\r\n",
        ],
    )
    def test_what_the_parser_rejects_is_malformed(self, data: bytes) -> None:
        with pytest.raises(h11.RemoteProtocolError):
            parse(data + b"\r\n")
        with pytest.raises(MalformedChunkError):
            joined(data + b"\r\n", [])

    def test_a_line_has_a_longest_length(self) -> None:
        joiner = ChunkJoiner(MAX_LINE_BYTES)
        assert joiner.feed(b"1;" + b"x" * (MAX_LINE_BYTES - 2)) == b""
        with pytest.raises(MalformedChunkError):
            joiner.feed(b"x")
