"""Publication of a bundle by compare-and-swap against the version it is based on."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from ..kvservice.kv import KeyValue, Kv, Swap
from .bundle import EMPTY, Bundle, Service
from .codec import MAX_BUNDLE_BYTES, decode_bundle, digest, encode_bundle
from .differences import Difference, differences

BUNDLE_KEY = "/endiveworks/config/bundle"
_KEPT_PUBLICATIONS = 32
_AMBIGUOUS = frozenset({Code.TIMEOUT, Code.UNREACHABLE, Code.UPSTREAM_FAILED})


class PublishRequest(NamedTuple):
    """A request to publish services.

    Attributes:
        services: All services, by name.
        publisher: Name of the publisher, reported to a publisher that loses a race.
        expected_version: Version that the services are based on; 0 before the first.
        publication: Unique id of this publication, the same for every retry.
        now_s: Seconds since the epoch.
    """

    services: Mapping[str, Service]
    publisher: str
    expected_version: int
    publication: str
    now_s: float


class PublishResult(NamedTuple):
    """The active bundle, and whether this publication wrote it."""

    bundle: Bundle
    changed: bool


class PublishRefusal(NamedTuple):
    """Why nothing was published.

    Attributes:
        failure: CONFLICT when another publication was written first; OUTCOME_UNKNOWN when it could
            not be determined in time whether the write took effect.
        in_force: The active bundle, with its publisher and time; None if not known.
        differences: Differences between that bundle and the services to publish.
    """

    failure: Failure
    in_force: Bundle | None = None
    differences: tuple[Difference, ...] = ()


class _CurrentBundle(NamedTuple):
    """The active bundle and the revision of its key."""

    bundle: Bundle
    revision: int


def read_bundle(kv: Kv) -> Result[Bundle, Failure]:
    """Returns the published bundle, or EMPTY before the first publication."""
    return kv.read(BUNDLE_KEY).bind(_decode_current).map(lambda current: current.bundle)


def publish(
    kv: Kv, req: PublishRequest, retry_delays_s: Iterable[float], sleep: Callable[[float], None]
) -> Result[PublishResult, PublishRefusal]:
    """Publishes services if the expected version is still active.

    After a lost response the same write is retried: it takes effect only if the key is unchanged;
    otherwise the active bundle shows whether it contains this publication's id. If equal content is
    already active, the publication succeeds without a write.

    Args:
        kv: The key-value service.
        req: The services to publish.
        retry_delays_s: Delays before each retry, in seconds; one retry per delay.
        sleep: Sleeps for a number of seconds.
    """
    outcome = _attempt(kv, req)
    may_have_written = _is_ambiguous(outcome)
    for delay_s in retry_delays_s:
        if not _is_retryable(outcome):
            break
        sleep(delay_s)
        outcome = _attempt(kv, req)
        may_have_written = may_have_written or _is_ambiguous(outcome)
    if may_have_written and _is_retryable(outcome):
        return Err(_outcome_unknown(req, outcome.failure()))
    return outcome


def _attempt(kv: Kv, req: PublishRequest) -> Result[PublishResult, PublishRefusal]:
    read = kv.read(BUNDLE_KEY).bind(_decode_current)
    if not isinstance(read, Success):
        return Err(PublishRefusal(read.failure()))
    current = read.unwrap()
    decided = _decided_outcome(req, current.bundle)
    return decided if decided is not None else _write(kv, req, current)


def _decided_outcome(
    req: PublishRequest, current: Bundle
) -> Result[PublishResult, PublishRefusal] | None:
    """Returns the outcome if the active bundle determines it without a write, else None."""
    if req.publication in current.publications:
        return Success(PublishResult(current, True))
    if current.version > 0 and current.digest == digest(req.services):
        return Success(PublishResult(current, False))
    if current.version != req.expected_version:
        return Err(_conflict(req, current))
    return None


def _write(
    kv: Kv, req: PublishRequest, current: _CurrentBundle
) -> Result[PublishResult, PublishRefusal]:
    bundle = _next_bundle(req, current.bundle)
    data = encode_bundle(bundle)
    if len(data) > MAX_BUNDLE_BYTES:
        detail = f"the bundle has {len(data)} bytes; the limit is {MAX_BUNDLE_BYTES}"
        return Err(PublishRefusal(Failure(Code.BAD_REQUEST, "config.publish", "", detail)))
    swapped = kv.swap(Swap(BUNDLE_KEY, data, current.revision))
    if not isinstance(swapped, Success):
        return Err(PublishRefusal(swapped.failure()))
    if swapped.unwrap().done:
        return Success(PublishResult(bundle, True))
    winner = _decode_current(swapped.unwrap().current)
    if not isinstance(winner, Success):
        return Err(PublishRefusal(winner.failure()))
    decided = _decided_outcome(req, winner.unwrap().bundle)
    return decided if decided is not None else Err(_conflict(req, winner.unwrap().bundle))


def _next_bundle(req: PublishRequest, current: Bundle) -> Bundle:
    publications = (*current.publications, req.publication)[-_KEPT_PUBLICATIONS:]
    return Bundle(
        version=current.version + 1,
        publisher=req.publisher,
        published_at=req.now_s,
        digest=digest(req.services),
        services=req.services,
        publications=publications,
    )


def _decode_current(entry: KeyValue | None) -> Result[_CurrentBundle, Failure]:
    if entry is None:
        return Success(_CurrentBundle(EMPTY, 0))
    return decode_bundle(entry.value).map(lambda bundle: _CurrentBundle(bundle, entry.mod_revision))


def _conflict(req: PublishRequest, winner: Bundle) -> PublishRefusal:
    detail = (
        f"version {winner.version} by {winner.publisher} is in force, "
        f"version {req.expected_version} was expected"
    )
    failure = Failure(Code.CONFLICT, "config.publish", winner.publisher, detail, not_run=True)
    return PublishRefusal(failure, winner, differences(winner.services, req.services))


def _outcome_unknown(req: PublishRequest, last: PublishRefusal) -> PublishRefusal:
    detail = (
        f"publication {req.publication} may have taken effect; publishing the same content again "
        f"settles it ({last.failure.detail})"
    )
    failure = Failure(Code.OUTCOME_UNKNOWN, last.failure.step, last.failure.peer, detail)
    return PublishRefusal(failure)


def _is_retryable(outcome: Result[PublishResult, PublishRefusal]) -> bool:
    return not isinstance(outcome, Success) and outcome.failure().failure.code in _AMBIGUOUS


def _is_ambiguous(outcome: Result[PublishResult, PublishRefusal]) -> bool:
    return _is_retryable(outcome) and outcome.failure().failure.step == "kv.txn"
