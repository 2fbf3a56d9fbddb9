"""Callers' requests to open programs and to run calls."""

import secrets
from typing import NamedTuple, TypedDict

from returns.result import Failure as Err
from returns.result import Result, Success

from ..config.bundle import Bundle
from ..engines.chat_format import parse_request
from ..errors import Failure
from .decide import OpenCommand, StartCommand
from .plan import max_response_tokens
from .records import CHAT

_PARTITION_DIGITS = 4
_PROGRAM_ID_BYTES = 12


class OpenRequest(TypedDict):
    """A request to open a program; class_name and parent may be empty, budget_tokens 0."""

    service: str
    class_name: str
    budget_tokens: int
    parent: str
    request_key: str


class CallRequest(NamedTuple):
    """A caller's request to run a call."""

    program: str
    call: int
    tenant: str
    service: str
    operation: str
    request_key: str
    body: bytes


def open_command(tenant: str, body: OpenRequest, at_s: float) -> OpenCommand:
    """Returns the command for a tenant's request, received at_s seconds after the Unix epoch."""
    return OpenCommand(tenant=tenant, at_s=at_s, **body)


def start_command(req: CallRequest, bundle: Bundle) -> Result[StartCommand, Failure]:
    """Returns the command with the size of prompt and response; refuses a malformed chat."""
    if req.operation != CHAT:
        return Success(StartCommand(*req, new_prompt_tokens=0, max_tokens=0))
    parsed = parse_request(req.body)
    if not isinstance(parsed, Success):
        return Err(parsed.failure())
    chat = parsed.unwrap()
    service = bundle.services.get(req.service)
    max_tokens = max_response_tokens(service, chat.max_tokens) if service is not None else 0
    return Success(
        StartCommand(*req, new_prompt_tokens=chat.new_prompt_tokens, max_tokens=max_tokens)
    )


def new_program_id(partition: int) -> str:
    """Returns an id for a new program of a partition."""
    return f"{partition:0{_PARTITION_DIGITS}x}-{secrets.token_hex(_PROGRAM_ID_BYTES)}"


def partition_of(program: str) -> int | None:
    """Returns the partition of a program id; None when the id is malformed."""
    digits, dash, _ = program.partition("-")
    try:
        return int(digits, 16) if dash and len(digits) == _PARTITION_DIGITS else None
    except ValueError:
        return None
