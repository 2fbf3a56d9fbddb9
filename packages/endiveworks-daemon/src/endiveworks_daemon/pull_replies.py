"""The method pull, whose reply is written once there is news, without a thread that waits."""

from typing import Any

from endiveworks.wire.gen import Node, ttypes
from endiveworks.wire.streams import to_news
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TMessageType
from thrift.transport.TTransport import TFramedTransport, TMemoryBuffer

from .node_service import NodeService

_METHOD = "pull"
_PROTOCOLS = TBinaryProtocolAcceleratedFactory()


def replying_later(processor: Any, service: NodeService) -> Any:
    """Returns a generated processor that leaves the reply to a pull to the service.

    The thread of the connection goes on to wait for the next request. A peer sends that only once
    it has the reply, so replies don't meet on a connection.
    """

    def process(_: Any, seqid: int, iprot: Any, oprot: Any) -> None:
        args = Node.pull_args()
        args.read(iprot)
        iprot.readMessageEnd()
        replies = oprot.trans.replies
        service.pull_later(
            args.wants, args.wait_ms, lambda news: replies.write(_frame(seqid, to_news(news)))
        )

    processor._processMap[_METHOD] = process
    return processor


def _frame(seqid: int, news: ttypes.News) -> bytes:
    buffer = TMemoryBuffer()
    transport = TFramedTransport(buffer)
    protocol = _PROTOCOLS.getProtocol(transport)
    protocol.writeMessageBegin(_METHOD, TMessageType.REPLY, seqid)
    Node.pull_result(success=news).write(protocol)
    protocol.writeMessageEnd()
    transport.flush()
    frame: bytes = buffer.getvalue()
    return frame
