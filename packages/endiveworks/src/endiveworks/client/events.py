"""Reads a chat answer from a server-sent event stream."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgspec
import urllib3
from returns.result import Failure as Failed
from returns.result import Result, Success

from ..decoding import DECODE_ERRORS
from ..errors import Code, Failure
from .transport import connection_lost, problem_failure, status_failure

OnText = Callable[[int, str], None]

_EVENT_END = b"\n\n"
_DATA = b"data: "
_ERROR_EVENT = b"event: error"
_DONE = b"[DONE]"


class Answer(NamedTuple):
    """A complete chat answer.

    Attributes:
        text: Text that the model generated.
        finish_reason: Why generation stopped, as reported by the engine.
        prompt_tokens: Tokens of the prompt, the history included.
        completion_tokens: Tokens of the answer.
        cached_tokens: Tokens of the prompt that the engine had cached.
    """

    text: str
    finish_reason: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


class _ResponseBuilder:
    """Collects the chunks of an answer."""

    def __init__(self, on_text: OnText | None) -> None:
        self._on_text = on_text
        self._parts: list[str] = []
        self._chars = 0
        self._finish_reason = ""
        self._usage: dict[str, Any] = {}

    def append(self, chunk: dict[str, Any]) -> None:
        """Appends one chunk and passes its text to the callback."""
        self._usage = chunk.get("usage") or self._usage
        for choice in chunk.get("choices", ()):
            self._finish_reason = choice.get("finish_reason") or self._finish_reason
            text = choice.get("delta", {}).get("content") or ""
            if text and self._on_text is not None:
                self._on_text(self._chars, text)
            self._parts.append(text)
            self._chars += len(text)

    def build(self) -> Answer:
        """Returns the complete answer."""
        details = self._usage.get("prompt_tokens_details") or {}
        return Answer(
            "".join(self._parts),
            self._finish_reason,
            self._usage.get("prompt_tokens", 0),
            self._usage.get("completion_tokens", 0),
            details.get("cached_tokens", 0),
        )


def read_events(
    resp: urllib3.BaseHTTPResponse, on_text: OnText | None = None
) -> Result[Answer, Failure]:
    """Returns the answer after its final event; a stream that ends earlier is a lost connection."""
    failure = status_failure(resp)
    if failure is not None:
        return Failed(failure)
    builder = _ResponseBuilder(on_text)
    for event in _events(resp):
        data = b"".join(line[len(_DATA) :] for line in event.split(b"\n") if line[:6] == _DATA)
        if event.startswith(_ERROR_EVENT):
            return Failed(problem_failure(data, ""))
        if data == _DONE:
            return Success(builder.build())
        if data:
            try:
                builder.append(msgspec.json.decode(data, type=dict))
            except DECODE_ERRORS as exc:
                return Failed(Failure(Code.CORRUPT, "client.events", "", str(exc)))
    return Failed(connection_lost("", "the event stream ended before its final event"))


def _events(resp: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    rest = b""
    while chunk := resp.read1():
        *events, rest = (rest + chunk).split(_EVENT_END)
        yield from events
