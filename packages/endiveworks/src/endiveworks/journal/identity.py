"""The identity of a data folder and the lock that keeps a second process out of it."""

import fcntl
import os
import uuid
from pathlib import Path
from typing import NamedTuple, TypedDict

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure

_STEP = "journal.open"
_IDENTITY_FILE = "identity.json"
_LOCK_FILE = "lock"
_FORMAT = 1


class Identity(NamedTuple):
    """What a data folder says of itself.

    Attributes:
        deployment: Deployment that wrote it.
        folder: Random id taken when the folder was first used; an empty folder gets another.
        format: Version of the file format.
    """

    deployment: str
    folder: str
    format: int


class _Fields(TypedDict):
    deployment: str
    folder: str
    format: int


def claim(data_dir: Path, deployment: str) -> Result[tuple[Identity, int], Failure]:
    """Locks a data folder and returns its identity and the descriptor that holds the lock.

    An empty folder is given a new identity. A folder of another deployment, in use by another
    process, or with journal files but no identity is refused.
    """
    try:
        data_dir.mkdir(parents=True, exist_ok=True)
        lock = os.open(data_dir / _LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    except OSError as exc:
        return Err(Failure(Code.STORAGE, _STEP, str(data_dir), str(exc), not_run=True))
    result = _lock_and_read(data_dir, deployment, lock)
    if not isinstance(result, Success):
        os.close(lock)
        return Err(result.failure())
    return Success((result.unwrap(), lock))


def deployment_of(data_dir: Path) -> str:
    """Returns the deployment that a data folder belongs to; empty if it names none."""
    try:
        data = (data_dir / _IDENTITY_FILE).read_bytes()
        return msgspec.json.decode(data, type=_Fields)["deployment"]
    except (OSError, msgspec.DecodeError):
        return ""


def set_aside(data_dir: Path) -> Path:
    """Moves the files of a damaged folder into a folder of their own, and returns that.

    What is left is an empty folder, which gets a new identity: its copies are filled again from
    the other hosts, and nobody takes it for the damaged one.
    """
    number = 1 + sum(1 for _ in data_dir.glob("damaged-*"))
    target = data_dir / f"damaged-{number}"
    target.mkdir()
    for path in [data_dir / _IDENTITY_FILE, *sorted(data_dir.glob("*.wal"))]:
        if path.exists():
            path.rename(target / path.name)
    sync_dir(data_dir)
    return target


def sync_dir(folder: Path) -> None:
    """Makes the names in a folder durable."""
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def _lock_and_read(data_dir: Path, deployment: str, lock: int) -> Result[Identity, Failure]:
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        path = data_dir / _IDENTITY_FILE
        if path.exists():
            fields = msgspec.json.decode(path.read_bytes(), type=_Fields)
            return _check(data_dir, Identity(**fields), deployment)
        if any(data_dir.glob("*.wal")):
            detail = "the folder holds journal files but no identity"
            return Err(Failure(Code.CORRUPT, _STEP, str(data_dir), detail, not_run=True))
        return Success(_create(data_dir, deployment))
    except BlockingIOError:
        detail = "the folder is in use by another process"
        return Err(Failure(Code.STORAGE, _STEP, str(data_dir), detail, not_run=True))
    except (OSError, msgspec.DecodeError) as exc:
        return Err(Failure(Code.STORAGE, _STEP, str(data_dir), str(exc), not_run=True))


def _check(data_dir: Path, identity: Identity, deployment: str) -> Result[Identity, Failure]:
    if identity.deployment != deployment:
        detail = f"the folder belongs to deployment {identity.deployment}"
        return Err(Failure(Code.CONFLICT, _STEP, str(data_dir), detail, not_run=True))
    if identity.format != _FORMAT:
        detail = f"the folder has format {identity.format}, this version reads {_FORMAT}"
        return Err(Failure(Code.CONFLICT, _STEP, str(data_dir), detail, not_run=True))
    return Success(identity)


def _create(data_dir: Path, deployment: str) -> Identity:
    identity = Identity(deployment, uuid.uuid4().hex, _FORMAT)
    draft = data_dir / (_IDENTITY_FILE + ".tmp")
    with open(draft, "wb") as file:
        file.write(msgspec.json.encode(identity._asdict()))
        file.flush()
        os.fsync(file.fileno())
    draft.rename(data_dir / _IDENTITY_FILE)
    sync_dir(data_dir)
    return identity
