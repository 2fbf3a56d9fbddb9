"""Identity file of a data folder, and the lock that excludes other processes."""

import fcntl
import os
import uuid
from pathlib import Path
from typing import NamedTuple, TypedDict

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from ..decoding import DECODE_ERRORS
from ..errors import Code, Failure

_STEP = "journal.open"
_IDENTITY_FILE = "identity.json"
_LOCK_FILE = "lock"
_FORMAT = 1


class Identity(NamedTuple):
    """Contents of a data folder's identity file.

    Attributes:
        deployment: Id of the deployment that the folder belongs to.
        folder: Random id, generated at the first use of the folder and again if it was emptied.
        format: Version of the file format.
    """

    deployment: str
    folder: str
    format: int


class _Fields(TypedDict):
    deployment: str
    folder: str
    format: int


def lock_data_dir(data_dir: Path, deployment: str) -> Result[tuple[Identity, int], Failure]:
    """Locks a data folder and returns its identity and the file descriptor that holds the lock.

    An empty folder gets a new identity. A folder is refused if it belongs to another deployment,
    is in use by another process, or has segments but no identity.
    """
    try:
        data_dir.mkdir(parents=True, exist_ok=True)
        lock_fd = os.open(data_dir / _LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    except OSError as exc:
        return Err(Failure(Code.STORAGE, _STEP, str(data_dir), str(exc), not_run=True))
    result = _lock_and_read(data_dir, deployment, lock_fd)
    if not isinstance(result, Success):
        os.close(lock_fd)
        return Err(result.failure())
    return Success((result.unwrap(), lock_fd))


def deployment_of(data_dir: Path) -> str:
    """Returns the deployment that a data folder belongs to; empty if it has no valid identity."""
    try:
        data = (data_dir / _IDENTITY_FILE).read_bytes()
        return msgspec.json.decode(data, type=_Fields)["deployment"]
    except (OSError, *DECODE_ERRORS):
        return ""


def set_aside(data_dir: Path) -> Path:
    """Moves the files of a damaged data folder into a subfolder, whose path it returns.

    The emptied data folder gets a new identity. So the other hosts don't mistake it for the
    damaged one, and refill its copies from theirs.
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
    """Syncs a folder, which makes created, renamed and deleted names durable."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def _lock_and_read(data_dir: Path, deployment: str, lock_fd: int) -> Result[Identity, Failure]:
    try:
        fcntl.flock(lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
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
    except (OSError, *DECODE_ERRORS) as exc:
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
    sync_dir(data_dir.parent)  # The folder itself may be new.
    identity = Identity(deployment, uuid.uuid4().hex, _FORMAT)
    tmp_path = data_dir / (_IDENTITY_FILE + ".tmp")
    with open(tmp_path, "wb") as file:
        file.write(msgspec.json.encode(identity._asdict()))
        file.flush()
        os.fsync(file.fileno())
    tmp_path.rename(data_dir / _IDENTITY_FILE)
    sync_dir(data_dir)
    return identity
