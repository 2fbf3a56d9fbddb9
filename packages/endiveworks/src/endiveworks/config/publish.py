"""Publication of a bundle by compare-and-swap against the version it was made from."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from ..kvservice.kv import Entry, Kv, Swap
from .bundle import EMPTY, Bundle, Service
from .codec import MAX_BUNDLE_BYTES, decode_bundle, digest, encode_bundle
from .differences import Difference, differences

BUNDLE_KEY = "/endiveworks/config/bundle"
_KEPT_PUBLICATIONS = 32
_AMBIGUOUS = frozenset({Code.TIMEOUT, Code.UNREACHABLE, Code.UPSTREAM_FAILED})


class Request(NamedTuple):
    """A wanted publication.

    Attributes:
        services: All services, by name.
        publisher: Who publishes, for the loser of a race.
        expected_version: Version that the services were made from; 0 before the first.
        publication: Unique id of this publication, the same in every retry.
        now_s: Seconds since the epoch.
    """

    services: Mapping[str, Service]
    publisher: str
    expected_version: int
    publication: str
    now_s: float


class Published(NamedTuple):
    """The bundle in force, and whether this publication made it."""

    bundle: Bundle
    changed: bool


class Refused(NamedTuple):
    """Why nothing was published.

    Attributes:
        failure: CONFLICT when another publication came first; OUTCOME_UNKNOWN when the service
            did not tell in time whether the write took effect.
        in_force: The bundle in force, which names its publisher and time; None when not known.
        differences: What differs between that bundle and the wanted one.
    """

    failure: Failure
    in_force: Bundle | None = None
    differences: tuple[Difference, ...] = ()


class _Current(NamedTuple):
    """The bundle in force and the revision of its key."""

    bundle: Bundle
    revision: int


def read_bundle(kv: Kv) -> Result[Bundle, Failure]:
    """Returns the published bundle, or EMPTY before the first publication."""
    return kv.read(BUNDLE_KEY).bind(_current).map(lambda current: current.bundle)


def publish(
    kv: Kv, req: Request, retry_delays_s: Iterable[float], sleep: Callable[[float], None]
) -> Result[Published, Refused]:
    """Publishes services if the expected version is still in force.

    An answer that is lost is settled by trying the same write again: it takes effect only while
    the key is unchanged, and otherwise the bundle in force tells whether it holds this
    publication's id. Equal content that is already in force is a success and changes nothing.

    Args:
        kv: The key-value service.
        req: What is to be published.
        retry_delays_s: Waits between the attempts, in seconds; the last attempt follows the last.
        sleep: Waits for a number of seconds.
    """
    outcome = _attempt(kv, req)
    in_doubt = _is_ambiguous(outcome)
    for delay_s in retry_delays_s:
        if not _is_retryable(outcome):
            break
        sleep(delay_s)
        outcome = _attempt(kv, req)
        in_doubt = in_doubt or _is_ambiguous(outcome)
    if in_doubt and _is_retryable(outcome):
        return Err(_unknown(req, outcome.failure()))
    return outcome


def _attempt(kv: Kv, req: Request) -> Result[Published, Refused]:
    read = kv.read(BUNDLE_KEY).bind(_current)
    if not isinstance(read, Success):
        return Err(Refused(read.failure()))
    current = read.unwrap()
    settled = _settle(req, current.bundle)
    return settled if settled is not None else _write(kv, req, current)


def _settle(req: Request, current: Bundle) -> Result[Published, Refused] | None:
    """Returns the outcome that the bundle in force already decides, if it decides one."""
    if req.publication in current.publications:
        return Success(Published(current, True))
    if current.version > 0 and current.digest == digest(req.services):
        return Success(Published(current, False))
    if current.version != req.expected_version:
        return Err(_lost_race(req, current))
    return None


def _write(kv: Kv, req: Request, current: _Current) -> Result[Published, Refused]:
    bundle = _next_bundle(req, current.bundle)
    data = encode_bundle(bundle)
    if len(data) > MAX_BUNDLE_BYTES:
        detail = f"the bundle has {len(data)} bytes; the limit is {MAX_BUNDLE_BYTES}"
        return Err(Refused(Failure(Code.BAD_REQUEST, "config.publish", "", detail)))
    swapped = kv.swap(Swap(BUNDLE_KEY, data, current.revision))
    if not isinstance(swapped, Success):
        return Err(Refused(swapped.failure()))
    if swapped.unwrap().done:
        return Success(Published(bundle, True))
    winner = _current(swapped.unwrap().current)
    if not isinstance(winner, Success):
        return Err(Refused(winner.failure()))
    settled = _settle(req, winner.unwrap().bundle)
    return settled if settled is not None else Err(_lost_race(req, winner.unwrap().bundle))


def _next_bundle(req: Request, current: Bundle) -> Bundle:
    publications = (*current.publications, req.publication)[-_KEPT_PUBLICATIONS:]
    return Bundle(
        version=current.version + 1,
        publisher=req.publisher,
        published_at=req.now_s,
        digest=digest(req.services),
        services=req.services,
        publications=publications,
    )


def _current(entry: Entry | None) -> Result[_Current, Failure]:
    if entry is None:
        return Success(_Current(EMPTY, 0))
    return decode_bundle(entry.value).map(lambda bundle: _Current(bundle, entry.mod_revision))


def _lost_race(req: Request, winner: Bundle) -> Refused:
    detail = (
        f"version {winner.version} by {winner.publisher} is in force, "
        f"version {req.expected_version} was expected"
    )
    failure = Failure(Code.CONFLICT, "config.publish", winner.publisher, detail, not_run=True)
    return Refused(failure, winner, differences(winner.services, req.services))


def _unknown(req: Request, last: Refused) -> Refused:
    detail = (
        f"publication {req.publication} may have taken effect; publishing the same content again "
        f"settles it ({last.failure.detail})"
    )
    failure = Failure(Code.OUTCOME_UNKNOWN, last.failure.step, last.failure.peer, detail)
    return Refused(failure)


def _is_retryable(outcome: Result[Published, Refused]) -> bool:
    return not isinstance(outcome, Success) and outcome.failure().failure.code in _AMBIGUOUS


def _is_ambiguous(outcome: Result[Published, Refused]) -> bool:
    return _is_retryable(outcome) and outcome.failure().failure.step == "kv.txn"
