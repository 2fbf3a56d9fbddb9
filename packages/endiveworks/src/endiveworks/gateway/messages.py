"""Requests, responses and replicas as the gateway handles them, whatever the wire format."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from .prefixes import PromptPart

Headers = list[tuple[bytes, bytes]]


class Program(NamedTuple):
    """The program that a request belongs to.

    Attributes:
        program: Id of the program.
        remaining_s: Time until the program's deadline; None when unknown.
        budget_tokens: Maximum number of tokens that all its turns together may generate; None for
            no limit.
    """

    program: str
    remaining_s: float | None
    budget_tokens: int | None


class Request(NamedTuple):
    """A request from a caller.

    Attributes:
        id: Id of this attempt.
        method: HTTP method.
        target: Path and query as sent.
        hostname: Host name in lower case, without port.
        headers: Headers forwarded to the replica unchanged.
        remaining_s: Time until the caller stops waiting; None when the request states no deadline.
        program: Program that the request belongs to; None for none.
        parts: Parts of its prompt, in order.
        max_tokens: Maximum number of tokens that it may generate.
        previous_turn: Id of the turn that it continues; empty for none.
        resume_after: Id of the last event that the caller received from an earlier attempt; None
            for none.
        affinity_key: Key of the object that it concerns; empty for none.
        resumes: Id of the attempt that brought the first event of the stream that it resumes;
            empty for none.
        credentials: Headers that state who sends the request, as the caller sent them.
        tenant: Name of the tenant that sends it; empty for nobody in particular, None if the
            deployment has no tenants.
    """

    id: str
    method: str
    target: str
    hostname: str
    headers: Headers
    remaining_s: float | None
    program: Program | None
    parts: tuple[PromptPart, ...] = ()
    max_tokens: int = 0
    previous_turn: str = ""
    resume_after: int | None = None
    affinity_key: str = ""
    resumes: str = ""
    credentials: tuple[tuple[bytes, bytes], ...] = ()
    tenant: str | None = None


class Dispatch(NamedTuple):
    """Values added to a request when it is sent to a replica.

    Attributes:
        replica: Id that the replica must have in order to run the request.
        remaining_s: Time that the replica has to process the request.
        resume_after: Id of the event after which the stream resumes; None to start from the
            beginning.
    """

    replica: str
    remaining_s: float
    resume_after: int | None


class ResponseHead(NamedTuple):
    """Status and headers of a replica's response.

    Attributes:
        status: HTTP status.
        headers: Headers forwarded to the caller.
        request_id: Id of the request that it responds to; empty when the header is missing.
        signed: Whether the replica's signature header is present.
        not_run: Whether the replica reports that it did not run the request.
        encoded: Whether the body has a content encoding, though none was requested.
        idle_timeout_s: Keep-alive timeout of the connection; None when the replica states none.
        length: Value of Content-Length in bytes; None when the header is missing.
        limit_per_s: Requests per second that the replica accepts from all processes together; None
            when it names no limit.
        is_leaving: Whether the replica announces that it is about to leave.
    """

    status: int
    headers: Headers
    request_id: str
    signed: bool
    not_run: bool
    encoded: bool
    idle_timeout_s: float | None
    length: int | None
    limit_per_s: float | None = None
    is_leaving: bool = False


class Replica(NamedTuple):
    """A replica of a service, as listed by service discovery.

    Attributes:
        id: Id of the replica's incarnation.
        service: Name of its service.
        address: IP address and port as "ip:port".
        failure_domain: Its failure domain.
        region: Region of the failure domain.
        slots: Maximum number of requests that it runs concurrently.
        draining: Whether it is draining before it leaves.
        started_ms: Time of its start in Unix milliseconds, which tells incarnations with one id
            apart; 0 when unknown.
        version: Version of its software; empty when unknown.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    region: str
    slots: int
    draining: bool
    started_ms: int = 0
    version: str = ""


class Dialect(NamedTuple):
    """Converts between the headers of callers and replicas and the types of the gateway.

    Attributes:
        read_request: Parses method, target and headers; returns an error text if they are invalid.
        write_request: Returns the headers of a request to a replica, without the headers that
            frame the body.
        read_response: Parses the status and headers of a replica's response.
        write_error: Returns the headers of an error response generated by the gateway, from the
            request's id and the seconds after which the caller may retry (None for never).
        readiness_path: Path of the platform's readiness check.
    """

    read_request: Callable[[str, str, Sequence[tuple[bytes, bytes]]], Request | str]
    write_request: Callable[[Request, Dispatch], Headers]
    read_response: Callable[[int, Sequence[tuple[bytes, bytes]]], ResponseHead]
    write_error: Callable[[str, float | None], Headers]
    readiness_path: str
