"""Asynchronous replies to the Thrift method pull, so that waiting pulls block no thread."""

from typing import Any

from endiveworks.wire.gen import Node, ttypes
from endiveworks.wire.streams import to_poll_response
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TMessageType
from thrift.transport.TTransport import TFramedTransport, TMemoryBuffer

from .node_service import NodeService

_METHOD = "pull"
_PROTOCOLS = TBinaryProtocolAcceleratedFactory()


def with_async_pull(processor: Any, service: NodeService) -> Any:
    """Makes a generated processor reply to pulls asynchronously, through the service.

    The connection's thread returns at once to wait for the next request. A peer sends that only
    after it has received the reply, so replies never interleave on a connection.
    """

    def process(_: Any, seqid: int, iprot: Any, oprot: Any) -> None:
        args = Node.pull_args()
        args.read(iprot)
        iprot.readMessageEnd()
        reply_writer = oprot.trans.reply_writer
        service.pull_async(
            args.wants,
            args.wait_ms,
            lambda response: reply_writer.write(_frame(seqid, to_poll_response(response))),
        )

    processor._processMap[_METHOD] = process
    return processor


def _frame(seqid: int, reply: ttypes.News) -> bytes:
    buffer = TMemoryBuffer()
    transport = TFramedTransport(buffer)
    protocol = _PROTOCOLS.getProtocol(transport)
    protocol.writeMessageBegin(_METHOD, TMessageType.REPLY, seqid)
    Node.pull_result(success=reply).write(protocol)
    protocol.writeMessageEnd()
    transport.flush()
    frame: bytes = buffer.getvalue()
    return frame
