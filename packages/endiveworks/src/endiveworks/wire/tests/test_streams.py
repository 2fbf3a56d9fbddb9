from endiveworks.calls.messages import CallKey
from endiveworks.calls.poll_client import ClosedStream, PollResponse, ReadRequest
from endiveworks.calls.stream import Chunk, FinalStatus
from endiveworks.errors import Code, Failure
from endiveworks.wire.gen import ttypes
from endiveworks.wire.streams import (
    from_poll_response,
    poll_keys,
    to_poll_request,
    to_poll_response,
)
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
        wants = [
            ReadRequest(CallKey("0001-a", 3, 1), 0),
            ReadRequest(CallKey("0002-b", 1, 4), 1 << 40),
        ]
        decoded = ttypes.Wants()
        decoded.read(PROTOCOLS.getProtocol(self.encoded(to_poll_request(wants))))
        assert poll_keys(decoded) == [want.key for want in wants]
        assert decoded.offsets == [0, 1 << 40]

    def test_responses_keep_bytes_final_statuses_and_failures(self) -> None:
        gone = Failure(Code.CONFLICT, "test", "u", "gone")
        ended = Chunk(7, b"end", FinalStatus(200, "text/event-stream", 3, 2, 1), 5)
        others = [ClosedStream(0, Success(ended)), ClosedStream(2, Err(gone))]
        response = PollResponse([1, 3], [4, 1], [b"\xff\x00", b"ab"], others)
        decoded = ttypes.News()
        decoded.read(PROTOCOLS.getProtocol(self.encoded(to_poll_response(response))))
        assert from_poll_response(decoded) == response
