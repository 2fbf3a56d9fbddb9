"""Snapshot of the cluster state stored in the platform's key-value service."""

from collections.abc import Mapping
from typing import NamedTuple

from ..members.member import Member
from ..turns.view import View
from .messages import Replica
from .routes import RoutingTable


class ClusterState(NamedTuple):
    """The decoded state of the key-value service at one revision.

    Attributes:
        revision: Revision of the key-value service that was read.
        table: Current configuration; None before the first one is published.
        replicas: Replicas by id.
        members: Registered processes of this deployment, by host.
        view: Disks that store turns; None before the first view.
        view_revision: Revision that last changed the view; 0 when there is no view.
        leaving: Hosts whose disks are to be emptied before they are retired.
    """

    revision: int
    table: RoutingTable | None
    replicas: Mapping[str, Replica]
    members: Mapping[str, Member]
    view: View | None
    view_revision: int
    leaving: frozenset[str]
