"""The id of a deployment and its number of partitions, written once by its first process."""

import uuid
from typing import NamedTuple, TypedDict

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from ..decoding import DECODE_ERRORS
from ..errors import Code, Failure
from ..kvservice.kv import Kv, Swap

DEPLOYMENT_KEY = "/endiveworks/deployment"
DEFAULT_PARTITIONS = 64
MAX_PARTITIONS = 65536


class DeploymentInfo(NamedTuple):
    """Id of the deployment and its number of partitions; neither ever changes."""

    deployment: str
    partitions: int


class _Fields(TypedDict):
    id: str
    partitions: int


def ensure_deployment_info(
    kv: Kv, partitions: int = DEFAULT_PARTITIONS
) -> Result[DeploymentInfo, Failure]:
    """Reads the id and the number of partitions, or writes them if the deployment is new.

    Args:
        kv: The key-value service.
        partitions: Number of partitions of a new deployment.

    Returns:
        The stored values, which may be those of another process. TIMEOUT or UNREACHABLE
        if they can't be read or written; CORRUPT if the stored value is invalid.
    """
    found = kv.read(DEPLOYMENT_KEY)
    if not isinstance(found, Success):
        return Err(found.failure())
    entry = found.unwrap()
    if entry is not None:
        return _decode(entry.value)
    value = msgspec.json.encode(_Fields(id=uuid.uuid4().hex, partitions=partitions))
    kv.swap(Swap(DEPLOYMENT_KEY, value, 0))
    # Reads back because another process may have written first, or the response may be lost.
    found = kv.read(DEPLOYMENT_KEY)
    if not isinstance(found, Success):
        return Err(found.failure())
    entry = found.unwrap()
    if entry is None:
        detail = "the id of the deployment could not be written"
        return Err(Failure(Code.UNREACHABLE, "ownership.terms", "", detail, not_run=True))
    return _decode(entry.value)


def _decode(data: bytes) -> Result[DeploymentInfo, Failure]:
    try:
        fields = msgspec.json.decode(data, type=_Fields)
    except DECODE_ERRORS as exc:
        return Err(Failure(Code.CORRUPT, "ownership.terms", DEPLOYMENT_KEY, str(exc)))
    if not 0 < fields["partitions"] <= MAX_PARTITIONS:
        detail = f"number of partitions {fields['partitions']} is not in 1..{MAX_PARTITIONS}"
        return Err(Failure(Code.CORRUPT, "ownership.terms", DEPLOYMENT_KEY, detail))
    return Success(DeploymentInfo(fields["id"], fields["partitions"]))
