"""Client API for agent programs: open a program, make its calls in order, close it."""

import secrets
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, NotRequired, TypedDict
from urllib.parse import quote

import msgspec
import urllib3
from returns.result import Failure as Failed
from returns.result import Result, Success

from ..checked_http import pool_manager
from ..decoding import DECODE_ERRORS
from ..errors import Code, Failure
from ..programs.queries import ProgramStatus
from .events import Answer, OnText, read_events
from .transport import Deployment, Request, send, status_failure

_JSON = {"Content-Type": "application/json"}
_MAX_KEPT_CONNECTIONS = 16


class Message(TypedDict):
    """A chat message."""

    role: str
    content: str
    tool_call_id: NotRequired[str]


class Reply(NamedTuple):
    """The response of a plain service."""

    status: int
    content_type: str
    body: bytes


def connect(
    addresses: Sequence[str], tenant: str, timeout_s: float = 300.0, silence_s: float = 60.0
) -> Deployment:
    """Returns a handle to a deployment without opening a connection.

    Args:
        addresses: Addresses of entries as "ip:port", or the load balancer's address.
        tenant: Tenant that the caller belongs to.
        timeout_s: Total time limit of a request, retries included, in seconds.
        silence_s: Seconds without receiving a byte after which a connection is treated as lost.
    """
    pool = pool_manager(maxsize=_MAX_KEPT_CONNECTIONS)
    return Deployment(tuple(addresses), tenant, timeout_s, silence_s, pool)


class Program:
    """An agent program. Not thread-safe: its calls are numbered and must be made in order.

    Attributes:
        id: Id of the program.
        next_call: Number of the next call.
    """

    def __init__(self, deployment: Deployment, program: str, next_call: int) -> None:
        self._deployment = deployment
        self.id = program
        self.next_call = next_call

    def chat(
        self,
        service: str,
        messages: Sequence[Message],
        max_tokens: int = 0,
        on_text: OnText | None = None,
    ) -> Result[Answer, Failure]:
        """Sends new messages and returns the complete answer; the deployment adds the history.

        Args:
            service: Service that runs the model.
            messages: Messages since the last call.
            max_tokens: Maximum length of the answer, in tokens; 0 uses the service's limit.
            on_text: Called with each piece of the answer as it arrives: its offset in characters
                and its text. An offset below the current length discards the text from there on.
        """
        body: dict[str, Any] = {"model": service, "messages": list(messages), "stream": True}
        if max_tokens:
            body["max_tokens"] = max_tokens
        req = self._request("/v1/chat/completions", _new_key(), msgspec.json.encode(body))
        return self._call(req, lambda resp: read_events(resp, on_text))

    def call(
        self, service: str, operation: str, arguments: Mapping[str, Any], key: str = ""
    ) -> Result[Reply, Failure]:
        """Calls an operation of a plain service.

        Args:
            service: Service name.
            operation: Operation of the service.
            arguments: Body of the request.
            key: Idempotency key; a new one by default.
        """
        path = f"/v1/services/{quote(service, safe='')}/{quote(operation, safe='')}"
        req = self._request(path, key or _new_key(), msgspec.json.encode(arguments))
        return self._call(req, _read_reply)

    def open_sub_agent(
        self, service: str, class_name: str = "", budget_tokens: int = 0
    ) -> "Result[Program, Failure]":
        """Opens a program whose tokens also count against this program's budget."""
        return open_program(self._deployment, service, class_name, budget_tokens, self.id)

    def status(self) -> Result[ProgramStatus, Failure]:
        """Returns the program's status from the deployment."""
        req = Request("GET", f"/v1/programs/{self.id}", {}, b"")
        return send(self._deployment, req, _read_status)

    def close(self) -> Result[ProgramStatus, Failure]:
        """Closes the program and its sub-agents."""
        req = Request("DELETE", f"/v1/programs/{self.id}", {}, b"")
        return send(self._deployment, req, _read_status)

    def _request(self, path: str, key: str, body: bytes) -> Request:
        headers = {
            **_JSON,
            "Endive-Program": self.id,
            "Endive-Call": str(self.next_call),
            "Idempotency-Key": key,
        }
        return Request("POST", path, headers, body)

    def _call(
        self,
        req: Request,
        read_response: Callable[[urllib3.BaseHTTPResponse], Result[Any, Failure]],
    ) -> Result[Any, Failure]:
        outcome = send(self._deployment, req, read_response)
        if isinstance(outcome, Success):
            self.next_call += 1
        elif not outcome.failure().not_run:
            self._refresh_next_call()
        return outcome

    def _refresh_next_call(self) -> None:
        """Fetches the next call number after a failure that may have consumed one."""
        status = self.status()
        if isinstance(status, Success):
            self.next_call = status.unwrap()["next_call"]


def open_program(
    deployment: Deployment,
    service: str,
    class_name: str = "",
    budget_tokens: int = 0,
    parent: str = "",
) -> Result[Program, Failure]:
    """Opens a program.

    Args:
        deployment: Deployment that runs the program.
        service: Service whose file sets the budget limit.
        class_name: Priority class of its calls; empty uses the service's default.
        budget_tokens: Tokens it may use; 0 uses the largest budget that the service allows.
        parent: Id of the program that this one is a sub-agent of.
    """
    body: dict[str, Any] = {"service": service, "budget_tokens": budget_tokens}
    body |= {"class": class_name} if class_name else {}
    body |= {"parent": parent} if parent else {}
    headers = {**_JSON, "Idempotency-Key": _new_key()}
    req = Request("POST", "/v1/programs", headers, msgspec.json.encode(body))
    opened = send(deployment, req, _read_status)
    return opened.map(lambda status: Program(deployment, status["id"], status["next_call"]))


def _new_key() -> str:
    return secrets.token_hex(16)


def _read_status(resp: urllib3.BaseHTTPResponse) -> Result[ProgramStatus, Failure]:
    failure = status_failure(resp)
    if failure is not None:
        return Failed(failure)
    try:
        return Success(msgspec.json.decode(resp.read(), type=ProgramStatus))
    except DECODE_ERRORS as exc:
        return Failed(Failure(Code.CORRUPT, "client.status", "", str(exc)))


def _read_reply(resp: urllib3.BaseHTTPResponse) -> Result[Reply, Failure]:
    content_type = resp.headers.get("Content-Type", "")
    return Success(Reply(resp.status, content_type, resp.read()))
