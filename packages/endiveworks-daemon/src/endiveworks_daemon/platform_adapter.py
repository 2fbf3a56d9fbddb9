"""Interface between a process and the platform that it runs on."""

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from endiveworks.gateway.messages import Dialect
from endiveworks.gateway.quota_terms import QuotaTerms
from endiveworks.kvservice.kv import Kv
from endiveworks.members.member import Member

from .state_watcher import DecodeState


class ProcessSettings(NamedTuple):
    """Settings of one process.

    Attributes:
        host: Name of this host.
        region: Region of this host's failure domain.
        failure_domain: Failure domain of this host.
        callers_address: Listen address for callers, as "ip:port"; empty if it serves none.
        readiness_address: Listen address for readiness checks; empty for none.
        peer_address: Listen address for other hosts of the deployment.
        advertised_address: Address that other hosts use to connect; differs from `peer_address`
            behind a forwarder.
        metrics_address: Listen address for metrics.
        data_dir: Folder on the host's disk; None without one.
        tolerance: Disks that may be lost at once.
        stop_timeout_s: Time within which a process must exit after a stop request.
        quota_terms: How the use of tenants' quotas is measured.
        max_key_age_s: Age of the configuration from which no API key is accepted; None if keys are
            accepted until a newer configuration is read.
        memory_mb: Memory in megabytes above which a process is killed; 0 if it is not limited.
        disk_mb: Size of the disk in megabytes; 0 if it is not limited.
        max_fds: Most file descriptors of a process; 0 if they are not limited.
        slow_readers: Whether replicas end if they hold more requests than their memory takes, so
            that what is sent to them at once is bounded.
        load_shedding: Whether requests are ordered and refused by what a delay costs their callers
            while a service has too little room.
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
    stop_timeout_s: float
    quota_terms: QuotaTerms = QuotaTerms()
    max_key_age_s: float | None = None
    memory_mb: float = 0.0
    disk_mb: float = 0.0
    max_fds: int = 0
    slow_readers: bool = False
    load_shedding: bool = False


class PlatformAdapter(NamedTuple):
    """Functions through which processes access the platform.

    Attributes:
        read_settings: Reads the current settings; raises OSError if they can't be read and
            ValueError if they are invalid.
        dialect: HTTP header conventions of callers and replicas.
        connect_kv: Returns a client of the key-value service.
        decode_state: Decodes the entries of the key-value service.
        report_emptied: Reports to the operator that a host's disk is no longer needed; returns
            whether the report was written.
    """

    read_settings: Callable[[], ProcessSettings]
    dialect: Dialect
    connect_kv: Callable[[], Kv]
    decode_state: DecodeState
    report_emptied: Callable[[Kv, str], bool]


def own_member(settings: ProcessSettings, role: str, incarnation: int, folder: str = "") -> Member:
    """Returns the registration entry of a process.

    Args:
        settings: Settings of the process.
        role: Role of the process.
        incarnation: Id that distinguishes restarts of the process; 0 where none is needed.
        folder: Id of the data folder; empty without a disk.
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
