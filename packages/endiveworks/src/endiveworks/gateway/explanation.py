"""Where an entry would send a request now, and why; asked for by operators, never sent.

The question and the answer travel over the entry's HTTP address for operators.
"""

from typing import NamedTuple, TypedDict
from urllib.parse import parse_qs, urlencode

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from ..decoding import DECODE_ERRORS
from ..errors import Code, Failure
from .prefixes import PromptPart

EXPLAIN_PATH = "/explain"
_STEP = "gateway.explain"


class Question(NamedTuple):
    """The request that is asked about.

    Attributes:
        hostname: Host name that it names.
        path: Its path.
        program: Program that it belongs to; empty for none.
        prefix: Parts of its prompt in order, as ID:TOKENS separated by commas; empty for none.
        object: Key of the object that it concerns; empty for none.
        software: Software version that it is bound to; empty for any.
    """

    hostname: str
    path: str
    program: str = ""
    prefix: str = ""
    object: str = ""
    software: str = ""


class RankedReplica(TypedDict):
    """One replica, in the order in which the entry would choose."""

    service: str
    replica: str
    software: str
    failure_domain: str
    in_flight: int
    slots: int
    cost_ms: float


class ServiceOutcome(TypedDict):
    """What happens if the request goes to one service of its route."""

    service: str
    share: float
    outcome: str
    replica: str
    preferred: str
    waiting: int
    replicas: list[RankedReplica]


class Explanation(TypedDict):
    """Answer of one entry; route is empty if none matches."""

    host: str
    config_version: int
    route: str
    type: str
    outcome: str
    services: list[ServiceOutcome]


def write_question(question: Question) -> str:
    """Returns the path and query of a question."""
    return f"{EXPLAIN_PATH}?{urlencode(question._asdict())}"


def read_question(query: str) -> Question | str:
    """Returns the question in a query, or an error message."""
    fields = {name: values[-1] for name, values in parse_qs(query).items()}
    unknown = sorted(set(fields) - set(Question._fields))
    if unknown:
        return f"unknown fields: {', '.join(unknown)}"
    if not fields.get("hostname") or not fields.get("path", "").startswith("/"):
        return "hostname and a path that begins with a slash are needed"
    question = Question(**fields)
    try:
        parts_of(question)
    except ValueError:
        return "prefix is not a list of ID:TOKENS"
    return question


def parts_of(question: Question) -> tuple[PromptPart, ...]:
    """Returns the parts of the prompt; raises ValueError if they can't be read."""
    items = [item.partition(":") for item in question.prefix.split(",") if item]
    return tuple(PromptPart(key, int(tokens)) for key, _, tokens in items)


def decode_explanation(body: bytes, address: str) -> Result[Explanation, Failure]:
    """Decodes an entry's answer; CORRUPT if it is none."""
    try:
        return Success(msgspec.json.decode(body, type=Explanation))
    except DECODE_ERRORS as exc:
        return Failed(Failure(Code.CORRUPT, _STEP, address, str(exc)))
