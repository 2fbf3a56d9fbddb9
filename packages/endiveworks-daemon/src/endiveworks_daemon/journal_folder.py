"""Opens the data folder of this host, after checking the deployment it belongs to."""

from pathlib import Path

from endiveworks.errors import Code, Failure
from endiveworks.journal.identity import deployment_of, set_aside
from endiveworks.journal.store import Store, open_store
from endiveworks.kvservice.kv import Kv
from endiveworks.ownership.deployment_info import ensure_deployment_info
from endiveworks.telemetry.logs import logger
from returns.result import Result, Success


def open_folder(data_dir: str, kv: Kv) -> Store | None:
    """Returns the journal copies of this host, or None if it stores none.

    A folder of another deployment is refused. A damaged folder is moved aside and replaced by an
    empty one, because other copies hold the same records. While the key-value service is down,
    the deployment id stored in the folder is trusted, and a folder without one is not used.
    """
    if not data_dir:
        return None
    folder = Path(data_dir)
    deployment = (
        ensure_deployment_info(kv).map(lambda info: info.deployment).value_or(deployment_of(folder))
    )
    if not deployment:
        logger("journal").warning("folder_not_used", path=data_dir, reason="no deployment known")
        return None
    opened = open_store(folder, deployment)
    if not isinstance(opened, Success) and opened.failure().code is Code.CORRUPT:
        logger("journal").error("folder_damaged", path=data_dir, detail=opened.failure().detail)
        logger("journal").error("folder_set_aside", path=str(set_aside(folder)))
        opened = open_store(folder, deployment)
    return _store_or_none(data_dir, opened)


def _store_or_none(data_dir: str, opened: Result[Store, Failure]) -> Store | None:
    if isinstance(opened, Success):
        return opened.unwrap()
    failure = opened.failure()
    logger("journal").error(
        "folder_refused", path=data_dir, code=failure.code.value, detail=failure.detail
    )
    return None
