"""A caller's side of agent programs: open one, make its calls in order, close it."""

import secrets
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, NotRequired, TypedDict
from urllib.parse import quote

import msgspec
import urllib3
from returns.result import Failure as Failed
from returns.result import Result, Success

from ..errors import Code, Failure
from ..programs.queries import ProgramStatus
from .events import Answer, OnText, read_events
from .transport import Deployment, Request, bad_status, send

_JSON = {"Content-Type": "application/json"}
_CONNECTIONS = 16


class Message(TypedDict):
    """A chat message."""

    role: str
    content: str
    tool_call_id: NotRequired[str]


class Reply(NamedTuple):
    """The answer of a plain service."""

    status: int
    content_type: str
    body: bytes


def connect(
    addresses: Sequence[str], tenant: str, timeout_s: float = 300.0, silence_s: float = 60.0
) -> Deployment:
    """Returns how to reach a deployment; no connection is made yet.

    Args:
        addresses: Entries as "ip:port", or the balancer's address.
        tenant: Tenant that the caller belongs to.
        timeout_s: Seconds after which a request is given up, repeats included.
        silence_s: Seconds without a byte after which a connection counts as lost.
    """
    pool = urllib3.PoolManager(maxsize=_CONNECTIONS)
    return Deployment(tuple(addresses), tenant, timeout_s, silence_s, pool)


class Program:
    """One program. It is used by one thread at a time, since its calls have an order.

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
        """Sends new messages and returns the whole answer; the deployment adds the history.

        Args:
            service: Service that runs the model.
            messages: Messages since the last call.
            max_tokens: Largest answer, in tokens; 0 leaves it to the service.
            on_text: Is given the answer as it grows: the offset in characters and the text from
                there on. An offset below the end so far replaces what follows it.
        """
        body: dict[str, Any] = {"model": service, "messages": list(messages), "stream": True}
        if max_tokens:
            body["max_tokens"] = max_tokens
        req = self._request("/v1/chat/completions", _new_key(), msgspec.json.encode(body))
        return self._call(req, lambda answer: read_events(answer, on_text))

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
        """Opens a program whose tokens are drawn from this one's budget as well."""
        return open_program(self._deployment, service, class_name, budget_tokens, self.id)

    def status(self) -> Result[ProgramStatus, Failure]:
        """Returns the program as the deployment sees it."""
        req = Request("GET", f"/v1/programs/{self.id}", {}, b"")
        return send(self._deployment, req, _read_status)

    def close(self) -> Result[ProgramStatus, Failure]:
        """Closes the program and those of its sub-agents."""
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
        self, req: Request, receive: Callable[[urllib3.BaseHTTPResponse], Result[Any, Failure]]
    ) -> Result[Any, Failure]:
        outcome = send(self._deployment, req, receive)
        if isinstance(outcome, Success):
            self.next_call += 1
        elif not outcome.failure().not_run:
            self._look_up_next_call()
        return outcome

    def _look_up_next_call(self) -> None:
        """Asks for the next call's number after a failure that may have used one up."""
        found = self.status()
        if isinstance(found, Success):
            self.next_call = found.unwrap()["next_call"]


def open_program(
    deployment: Deployment,
    service: str,
    class_name: str = "",
    budget_tokens: int = 0,
    parent: str = "",
) -> Result[Program, Failure]:
    """Opens a program.

    Args:
        deployment: Where to open it.
        service: Service whose file grants the budget.
        class_name: Class that orders its calls; empty takes the service's default.
        budget_tokens: Tokens it may use; 0 takes the most that the service grants.
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


def _read_status(answer: urllib3.BaseHTTPResponse) -> Result[ProgramStatus, Failure]:
    refusal = bad_status(answer)
    if refusal is not None:
        return Failed(refusal)
    try:
        return Success(msgspec.json.decode(answer.read(), type=ProgramStatus))
    except msgspec.DecodeError as exc:
        return Failed(Failure(Code.CORRUPT, "client.status", "", str(exc)))


def _read_reply(answer: urllib3.BaseHTTPResponse) -> Result[Reply, Failure]:
    content_type = answer.headers.get("Content-Type", "")
    return Success(Reply(answer.status, content_type, answer.read()))
