"""What the processes of a deployment agree on once: its id and its number of partitions."""

import uuid
from typing import NamedTuple, TypedDict

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from ..kvservice.kv import Kv, Swap

DEPLOYMENT_KEY = "/endiveworks/deployment"
DEFAULT_PARTITIONS = 64
MAX_PARTITIONS = 65536


class Terms(NamedTuple):
    """Id of the deployment, and its number of partitions, which never changes."""

    deployment: str
    partitions: int


class _Fields(TypedDict):
    id: str
    partitions: int


def agree_terms(kv: Kv, partitions: int = DEFAULT_PARTITIONS) -> Result[Terms, Failure]:
    """Returns the terms in force, and writes them if the deployment is new."""
    found = kv.read(DEPLOYMENT_KEY)
    if not isinstance(found, Success):
        return Err(found.failure())
    entry = found.unwrap()
    if entry is not None:
        return _decode(entry.value)
    value = msgspec.json.encode(_Fields(id=uuid.uuid4().hex, partitions=partitions))
    kv.swap(Swap(DEPLOYMENT_KEY, value, 0))
    # Whoever wrote first has set them, also if the answer of this write was lost.
    found = kv.read(DEPLOYMENT_KEY)
    if not isinstance(found, Success):
        return Err(found.failure())
    entry = found.unwrap()
    if entry is None:
        detail = "the terms could not be written"
        return Err(Failure(Code.UNREACHABLE, "ownership.terms", "", detail, not_run=True))
    return _decode(entry.value)


def _decode(data: bytes) -> Result[Terms, Failure]:
    try:
        fields = msgspec.json.decode(data, type=_Fields)
    except msgspec.DecodeError as exc:
        return Err(Failure(Code.CORRUPT, "ownership.terms", DEPLOYMENT_KEY, str(exc)))
    if not 0 < fields["partitions"] <= MAX_PARTITIONS:
        detail = f"{fields['partitions']} partitions are not between 1 and {MAX_PARTITIONS}"
        return Err(Failure(Code.CORRUPT, "ownership.terms", DEPLOYMENT_KEY, detail))
    return Success(Terms(fields["id"], fields["partitions"]))
