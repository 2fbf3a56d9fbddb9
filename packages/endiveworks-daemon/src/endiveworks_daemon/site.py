"""What a process is told by the platform that it runs on."""

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from endiveworks.gateway.messages import Dialect
from endiveworks.kvservice.kv import Kv
from endiveworks.members.member import Member

from .feed import ReadPicture


class SiteSettings(NamedTuple):
    """Settings of one process.

    Attributes:
        host: Name of this host.
        region: Region of its failure domain.
        failure_domain: Its failure domain.
        callers_address: Where callers connect, as "ip:port"; empty when it serves none.
        readiness_address: Where the platform asks for readiness; empty when it doesn't.
        peer_address: Where other hosts of the deployment connect.
        advertised_address: The address that they are told, where it leads there another way.
        metrics_address: Where operators read metrics.
        data_dir: Folder on the host's disk; None without one.
        tolerance: Disks that may be lost at once.
        stop_s: Time that a process has to end after it was asked to.
    """

    host: str
    region: str
    failure_domain: str
    callers_address: str
    readiness_address: str
    peer_address: str
    advertised_address: str
    metrics_address: str
    data_dir: Path | None
    tolerance: int
    stop_s: float


class Site(NamedTuple):
    """The platform as the processes see it.

    Attributes:
        read_settings: Reads the settings as they are now; raises ValueError when they can't be
            used.
        dialect: Wire of callers and replicas.
        connect_kv: Returns the client of the key-value service.
        read_picture: Makes a picture of what the key-value service holds.
        report_emptied: Tells the operator that a host's disk is no longer needed; returns whether
            that was written.
    """

    read_settings: Callable[[], SiteSettings]
    dialect: Dialect
    connect_kv: Callable[[], Kv]
    read_picture: ReadPicture
    report_emptied: Callable[[Kv, str], bool]


def own_member(settings: SiteSettings, role: str, incarnation: int, folder: str = "") -> Member:
    """Returns what a process tells the others of itself.

    Args:
        settings: Its settings.
        role: Its role.
        incarnation: Tells this run of the process from others; 0 where that is of no matter.
        folder: Id of its data folder; empty without a disk.
    """
    return Member(
        settings.host,
        settings.advertised_address,
        role,
        "",
        settings.region,
        settings.failure_domain,
        incarnation,
        has_disk=bool(folder),
        folder=folder,
    )
