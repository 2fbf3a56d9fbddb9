"""Formats of chat completions: requests, event streams and complete responses."""

import time
from collections.abc import Iterator, Sequence
from typing import Annotated, Any, NamedTuple, TypedDict

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure

MAX_RESPONSE_TOKENS = 2**31 - 1
MAX_TOOL_CALLS = 1_024  # Tool calls in one response of an engine.
DONE_EVENT = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"
_DATA_PREFIX = b"data: "
_MESSAGE_OVERHEAD_TOKENS = 16
_RESERVED_FIELDS = frozenset(
    {"model", "messages", "max_tokens", "stream", "stream_options", "cache_salt"}
)
# Each additional choice would generate as many tokens again, beyond the reservation.
_CHOICE_FIELDS = ("n", "best_of")
_LENGTH_FIELDS = ("max_completion_tokens", "max_tokens")

_RAW_OBJECT = msgspec.json.Decoder(dict[str, msgspec.Raw])
_RAW_LIST = msgspec.json.Decoder(list[msgspec.Raw])


Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_RESPONSE_TOKENS)]


class _CachedTokens(TypedDict, total=False):
    cached_tokens: Count | None


class Usage(TypedDict, total=False):
    """Token counts as an engine reports them."""

    prompt_tokens: Count
    completion_tokens: Count
    prompt_tokens_details: _CachedTokens | None


class _Function(TypedDict, total=False):
    name: str | None
    arguments: str | None


class _ToolCall(TypedDict, total=False):
    # Each index up to the largest one becomes an entry of the assembled message.
    index: Annotated[int, msgspec.Meta(ge=0, lt=MAX_TOOL_CALLS)]
    id: str | None
    function: _Function | None


class _Delta(TypedDict, total=False):
    content: str | None
    tool_calls: list[_ToolCall] | None


class _Choice(TypedDict, total=False):
    delta: _Delta
    finish_reason: str | None


class _Chunk(TypedDict, total=False):
    choices: list[_Choice]
    usage: Usage | None


_CHUNK = msgspec.json.Decoder(_Chunk)


class Message(TypedDict, total=False):
    """A chat message; only the role is validated."""

    role: str


class ChatRequest(NamedTuple):
    """A caller's chat request.

    Attributes:
        messages: New messages, each as JSON.
        options: Other fields to pass to the engine, each as JSON.
        max_tokens: Maximum length of the response requested by the caller; 0 if not set.
        stream: Whether the caller requested an event stream.
        new_prompt_tokens: Upper bound of the tokens of the new messages and options.
    """

    messages: tuple[bytes, ...]
    options: dict[str, bytes]
    max_tokens: int
    stream: bool
    new_prompt_tokens: int


class TokenCounts(NamedTuple):
    """Token counts of one response."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


def parse_request(body: bytes) -> Result[ChatRequest, Failure]:
    """Parses and validates a caller's request; BAD_REQUEST names the malformed field."""
    try:
        # Parts that are forwarded unparsed must be valid UTF-8 as well.
        body.decode()
        fields = _RAW_OBJECT.decode(body)
        messages = tuple(bytes(raw) for raw in _RAW_LIST.decode(fields.get("messages", b"")))
        for message in messages:
            msgspec.json.decode(message, type=Message)["role"]
        stream = msgspec.json.decode(fields.get("stream", b"false"), type=bool)
        max_tokens = _requested_max_tokens(fields)
        _check_choices(fields)
    except (msgspec.MsgspecError, KeyError, UnicodeDecodeError, RecursionError) as exc:
        return Err(_bad_request(f"the chat request is malformed: {exc}"))
    if not messages:
        return Err(_bad_request("messages is empty"))
    options = {
        name: bytes(raw)
        for name, raw in fields.items()
        if name not in _RESERVED_FIELDS and name not in _LENGTH_FIELDS
    }
    # A token is at least one byte, so the size in bytes bounds the number of tokens.
    size = sum(len(part) + _MESSAGE_OVERHEAD_TOKENS for part in (*messages, *options.values()))
    return Success(ChatRequest(messages, options, max_tokens, stream, size))


def parse_messages(body: bytes) -> list[bytes]:
    """Returns the messages of a request that was validated before, each as JSON."""
    return [bytes(raw) for raw in _RAW_LIST.decode(_RAW_OBJECT.decode(body)["messages"])]


def engine_request(
    model: str,
    program: str,
    history: Sequence[bytes],
    req: ChatRequest,
    max_tokens: int,
    partial: bytes = b"",
) -> bytes:
    """Returns the request for an engine.

    Args:
        model: Model name.
        program: Program id, used by the engine as the cache key of the prefix.
        history: Messages of the program so far, each as JSON.
        req: The caller's request.
        max_tokens: Maximum length of the response, in tokens.
        partial: Message as JSON with the text generated so far, for the engine to continue.
    """
    messages = [*history, *req.messages]
    options = dict(req.options)
    if partial:
        messages.append(partial)
        options["continue_final_message"] = b"true"
        options["add_generation_prompt"] = b"false"
    fields = {
        "model": msgspec.json.encode(model),
        "messages": b"[" + b",".join(messages) + b"]",
        "max_tokens": str(max_tokens).encode(),
        "stream": b"true",
        "stream_options": b'{"include_usage":true}',
        "cache_salt": msgspec.json.encode(program),
        **options,
    }
    return msgspec.json.encode({name: msgspec.Raw(value) for name, value in fields.items()})


def continuation_request(request: bytes, partial: bytes) -> bytes:
    """Returns an engine request that continues after the events of a partial response."""
    fields = msgspec.json.decode(request)
    message = msgspec.json.decode(completion_message(assemble(partial)))
    fields["messages"] = [*fields["messages"], message]
    fields["max_tokens"] = max(1, fields["max_tokens"] - count_events(partial))
    fields["continue_final_message"] = True
    fields["add_generation_prompt"] = False
    return msgspec.json.encode(fields)


def count_events(events: bytes) -> int:
    """Counts the events of a stream, each of which carries one token."""
    return events.count(EVENT_END)


def event_data(event: bytes) -> bytes:
    """Returns the data of one event; empty if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(_DATA_PREFIX):
            return line[len(_DATA_PREFIX) :]
    return b""


def read_usage(data: bytes) -> Usage:
    """Returns the token counts in the data of an engine's event; empty if it has none.

    Raises:
        ValueError: The data can't become part of a response.
    """
    try:
        return _CHUNK.decode(data).get("usage") or {}
    except RecursionError as exc:
        raise ValueError(str(exc)) from exc


def assemble(events: bytes) -> bytes:
    """Assembles a stream of events into a complete chat completion, as JSON."""
    merged: dict[str, Any] = {"object": "chat.completion"}
    message: dict[str, Any] = {"role": "assistant", "content": ""}
    finish = None
    for chunk in _chunks(events):
        for name in ("id", "created", "model", "usage"):
            if chunk.get(name) is not None:
                merged[name] = chunk[name]
        for choice in chunk.get("choices", ()):
            _merge_delta(message, choice.get("delta", {}))
            finish = choice.get("finish_reason") or finish
    merged["choices"] = [{"index": 0, "message": message, "finish_reason": finish}]
    return msgspec.json.encode(merged)


def render_events(completion: bytes) -> bytes:
    """Returns a complete chat completion as a stream of events, including the final one."""
    decoded = msgspec.json.decode(completion)
    choice = decoded["choices"][0]
    base = {
        "id": decoded.get("id", ""),
        "object": "chat.completion.chunk",
        "created": decoded.get("created", int(time.time())),
        "model": decoded.get("model", ""),
    }
    delta = {"index": 0, "delta": choice["message"], "finish_reason": choice["finish_reason"]}
    events = [{**base, "choices": [delta]}]
    if "usage" in decoded:
        events.append({**base, "choices": [], "usage": decoded["usage"]})
    encoded = (_DATA_PREFIX + msgspec.json.encode(event) + EVENT_END for event in events)
    return b"".join(encoded) + DONE_EVENT


def completion_message(completion: bytes) -> bytes:
    """Returns the assistant's message of a complete chat completion, as JSON."""
    return msgspec.json.encode(msgspec.json.decode(completion)["choices"][0]["message"])


def token_counts(completion: bytes) -> TokenCounts:
    """Returns the token counts of a complete chat completion; 0 where the engine reports none."""
    usage = msgspec.json.decode(completion).get("usage") or {}
    details = usage.get("prompt_tokens_details") or {}
    return TokenCounts(
        usage.get("prompt_tokens", 0),
        usage.get("completion_tokens", 0),
        details.get("cached_tokens", 0),
    )


def _chunks(events: bytes) -> Iterator[dict[str, Any]]:
    for event in events.split(EVENT_END):
        data = event_data(event)
        if data and data != b"[DONE]":
            yield msgspec.json.decode(data)


def _merge_delta(message: dict[str, Any], delta: dict[str, Any]) -> None:
    message["content"] = (message["content"] or "") + (delta.get("content") or "")
    for part in delta.get("tool_calls") or ():
        calls = message.setdefault("tool_calls", [])
        index = part.get("index", len(calls))
        while len(calls) <= index:
            calls.append({"id": "", "type": "function", "function": {"name": "", "arguments": ""}})
        calls[index]["id"] += part.get("id") or ""
        function = part.get("function") or {}
        for name in ("name", "arguments"):
            calls[index]["function"][name] += function.get(name) or ""


def _requested_max_tokens(fields: dict[str, msgspec.Raw]) -> int:
    for name in _LENGTH_FIELDS:
        if name in fields:
            value = msgspec.json.decode(fields[name], type=int)
            if not 1 <= value <= MAX_RESPONSE_TOKENS:
                detail = f"{name} is {value}, but must be between 1 and {MAX_RESPONSE_TOKENS}"
                raise msgspec.ValidationError(detail)
            return value
    return 0


def _check_choices(fields: dict[str, msgspec.Raw]) -> None:
    for name in _CHOICE_FIELDS:
        if name in fields and msgspec.json.decode(fields[name], type=int) != 1:
            raise msgspec.ValidationError(f"{name} must be 1")


def _bad_request(detail: str) -> Failure:
    return Failure(Code.BAD_REQUEST, "engines.parse", "", detail, not_run=True)
