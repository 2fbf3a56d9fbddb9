"""Thrift methods common to all processes: liveness, configuration and pulls."""

from collections.abc import Callable

from endiveworks.calls.messages import CallKey
from endiveworks.calls.poll_client import PollResponse
from endiveworks.calls.poll_server import PollServer
from endiveworks.calls.stream import Stream
from endiveworks.errors import Code, Failure
from endiveworks.wire.gen import ttypes
from endiveworks.wire.streams import poll_keys
from returns.result import Failure as Err
from returns.result import Result, Success

from .config_links import to_age_ms
from .identity import Identity

MAX_WAIT_MS = 5000


class NodeService:
    """Handles the messages common to all roles.

    Args:
        identity: This process.
        role: "entry" or "upstream".
        on_message: Called with each sender, whose configuration may be newer.
        bundle: Returns the encoded bundle in force.
    """

    def __init__(
        self,
        identity: Identity,
        role: str,
        on_message: Callable[[ttypes.Origin], None],
        bundle: Callable[[], bytes],
    ) -> None:
        self.identity = identity
        self.on_message = on_message
        self._role = role
        self._bundle = bundle
        self._poll_server = PollServer()

    def load(self) -> tuple[int, int]:
        """Returns how many calls are running and how many are queued."""
        return 0, 0

    def is_draining(self) -> bool:
        """Returns whether the process accepts no new work."""
        return False

    def find(self, key: CallKey) -> Result[Stream, Failure]:
        """Returns the stream of a response of this process."""
        detail = "this process serves no responses"
        return Err(Failure(Code.CONFLICT, "node.find", self.identity.host, detail))

    def on_delivered(self, key: CallKey) -> None:
        """Called when the end of a response has been sent."""

    def pull_async(
        self, wants: ttypes.Wants, wait_ms: int, reply: Callable[[PollResponse], None]
    ) -> None:
        """Calls reply once any of the requested responses has new bytes, or after wait_ms."""
        wait_s = min(wait_ms, MAX_WAIT_MS) / 1000
        keys = poll_keys(wants)

        def send_reply(response: PollResponse) -> None:
            reply(response)
            for position, outcome in response.closed:
                if isinstance(outcome, Success):
                    self.on_delivered(keys[position])

        self._poll_server.poll([self.find(key) for key in keys], wants.offsets, wait_s, send_reply)

    def ping(self, origin: ttypes.Origin) -> ttypes.NodeStatus:
        """Returns the status of this process."""
        self.on_message(origin)
        running, queued = self.load()
        return ttypes.NodeStatus(
            self.identity.origin(), self._role, self.is_draining(), running, queued
        )

    def config(self, origin: ttypes.Origin, newer_than: int) -> ttypes.ConfigReply:
        """Returns the bundle in force if it is newer than the caller's."""
        self.on_message(origin)
        version = self.identity.config_version()
        bundle = self._bundle() if version > newer_than else b""
        age_s = self.identity.config_age_s()
        return ttypes.ConfigReply(version, bundle, to_age_ms(age_s))
