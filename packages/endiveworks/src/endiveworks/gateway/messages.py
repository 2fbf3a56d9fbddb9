"""Requests, answers and replicas as the gateway sees them, whatever their form on the wire."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from .prefixes import Part

Headers = list[tuple[bytes, bytes]]


class Program(NamedTuple):
    """The program that a request belongs to.

    Attributes:
        program: Id of the program.
        left_s: Time in which the program should be finished; None when unknown.
        budget_tokens: Tokens that all its turns together may generate; None for no budget.
    """

    program: str
    left_s: float | None
    budget_tokens: int | None


class Request(NamedTuple):
    """A request of a caller.

    Attributes:
        id: Id of this attempt.
        method: HTTP method.
        target: Path and query as sent.
        hostname: Host name in lower case, without port.
        headers: Headers that go to the replica as they are.
        left_s: Time for which the caller waits; None when it doesn't say.
        program: The program that it belongs to; None for none.
        parts: The parts of its prompt in order.
        max_tokens: The most tokens that it may generate.
        previous_turn: Turn that it continues from; empty for none.
        resume_after: Last event that the caller has of an earlier attempt; None for none.
    """

    id: str
    method: str
    target: str
    hostname: str
    headers: Headers
    left_s: float | None
    program: Program | None
    parts: tuple[Part, ...] = ()
    max_tokens: int = 0
    previous_turn: str = ""
    resume_after: int | None = None


class Dispatch(NamedTuple):
    """What is added to a request for a replica.

    Attributes:
        replica: Id that the replica must have to run it.
        left_s: Time for which the replica may work.
        resume_after: Event after which the stream is to go on; None for its start.
    """

    replica: str
    left_s: float
    resume_after: int | None


class AnswerHead(NamedTuple):
    """The head of a replica's answer.

    Attributes:
        status: HTTP status.
        headers: Headers that go to the caller.
        request_id: Id of the request that it answers; empty when it names none.
        signed: Whether it carries the replica's signature.
        not_run: Whether the replica says that it has not run the request.
        encoded: Whether the body has an encoding that nobody asked for.
        idle_s: Time for which the replica keeps the connection; None when it doesn't say.
        length: Length of the body; None when it has none.
    """

    status: int
    headers: Headers
    request_id: str
    signed: bool
    not_run: bool
    encoded: bool
    idle_s: float | None
    length: int | None


class Replica(NamedTuple):
    """A replica of a service as service discovery lists it.

    Attributes:
        id: Id of its incarnation.
        service: Its service.
        address: IP number and port as "ip:port".
        failure_domain: Its failure domain.
        region: Region of the failure domain.
        slots: Requests that it runs at once.
        draining: Whether it is leaving.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    region: str
    slots: int
    draining: bool


class Dialect(NamedTuple):
    """Translates between the wire of callers and replicas and the types of the gateway.

    Attributes:
        read_request: Reads method, target and headers; a string says why they are no request.
        write_request: Returns the headers for a replica, without those that frame the body.
        read_answer: Reads status and headers of a replica's answer.
        write_refusal: Returns the headers of an answer of the gateway's own, from the request's
            id and the time after which the caller may come back (None for never).
        readiness_path: Path at which the platform asks whether the process is ready.
    """

    read_request: Callable[[str, str, Sequence[tuple[bytes, bytes]]], Request | str]
    write_request: Callable[[Request, Dispatch], Headers]
    read_answer: Callable[[int, Sequence[tuple[bytes, bytes]]], AnswerHead]
    write_refusal: Callable[[str, float | None], Headers]
    readiness_path: str
