"""A process of the deployment, as its host record describes it."""

from typing import NamedTuple

ENTRY_ROLE = "entry"


class Member(NamedTuple):
    """One live process.

    Attributes:
        host: Name of the process, unique in the deployment.
        address: IP number and port of its Thrift server, as "ip:port".
        role: "entry" or "upstream".
        service: Service of the upstream; empty for an entry.
        region: Region of the failure domain.
        failure_domain: Failure domain from its settings.
        incarnation: Random id that a process generates when it starts.
        has_disk: Whether it stores journal copies.
        draining: Whether it is shutting down and accepts no new work.
        admin: IP number and port of its HTTP server for operators, as "ip:port".
        folder: Id of the data folder for journal copies; empty without one.
    """

    host: str
    address: str
    role: str
    service: str
    region: str
    failure_domain: str
    incarnation: int
    has_disk: bool = False
    draining: bool = False
    admin: str = ""
    folder: str = ""
