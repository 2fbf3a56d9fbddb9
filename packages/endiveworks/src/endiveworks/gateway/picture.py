"""What the platform's key-value service says, in the terms of the gateway."""

from collections.abc import Mapping
from typing import NamedTuple

from ..members.member import Member
from ..turns.view import View
from .messages import Replica
from .routes import RoutingTable


class Picture(NamedTuple):
    """The state that processes take from the key-value service.

    Attributes:
        revision: Revision of the key-value service that it shows.
        table: Configuration in force; None before the first one.
        replicas: Replicas by id.
        members: Processes of this deployment by host.
        view: Disks that hold turns; None before the first view.
        view_revision: Revision that last changed the view; 0 when there is none.
        leaving: Hosts whose disks are to be emptied.
    """

    revision: int
    table: RoutingTable | None
    replicas: Mapping[str, Replica]
    members: Mapping[str, Member]
    view: View | None
    view_revision: int
    leaving: frozenset[str]
