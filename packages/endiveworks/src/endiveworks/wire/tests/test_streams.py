from endiveworks.calls.messages import CallKey
from endiveworks.calls.pull import News, Pulled, Want
from endiveworks.calls.stream import Ending, Piece
from endiveworks.errors import Code, Failure
from endiveworks.wire.gen import ttypes
from endiveworks.wire.streams import from_news, keys_of, to_news, to_wants
from returns.result import Failure as Err
from returns.result import Success
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

PROTOCOLS = TBinaryProtocolAcceleratedFactory()


class TestPullMessages:
    def encoded(self, message: ttypes.Wants | ttypes.News) -> TMemoryBuffer:
        buffer = TMemoryBuffer()
        message.write(PROTOCOLS.getProtocol(buffer))
        return TMemoryBuffer(buffer.getvalue())

    def test_requests_keep_their_attempts_and_offsets(self) -> None:
        wants = [Want(CallKey("0001-a", 3, 1), 0), Want(CallKey("0002-b", 1, 4), 1 << 40)]
        decoded = ttypes.Wants()
        decoded.read(PROTOCOLS.getProtocol(self.encoded(to_wants(wants))))
        assert keys_of(decoded) == [want.key for want in wants]
        assert decoded.offsets == [0, 1 << 40]

    def test_responses_keep_bytes_final_statuses_and_failures(self) -> None:
        gone = Failure(Code.CONFLICT, "test", "u", "gone")
        ended = Piece(7, b"end", Ending(200, "text/event-stream", 3, 2, 1), 5)
        others = [Pulled(0, Success(ended)), Pulled(2, Err(gone))]
        news = News([1, 3], [4, 1], [b"\xff\x00", b"ab"], others)
        decoded = ttypes.News()
        decoded.read(PROTOCOLS.getProtocol(self.encoded(to_news(news))))
        assert from_news(decoded) == news
