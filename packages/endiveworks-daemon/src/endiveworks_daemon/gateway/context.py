"""Components of an entry that all requests share."""

from typing import NamedTuple

from endiveworks.gateway.messages import Dialect

from .fleet import Fleet
from .origin_exchange import OriginExchange
from .quarantine import Quarantine
from .quotas import Quotas
from .stop_time import StopTime
from .transcripts import Transcripts
from .turn_store import TurnStore
from .upstreams import ConnectionPool


class Context(NamedTuple):
    """Components of the process that all requests share."""

    dialect: Dialect
    fleet: Fleet
    pool: ConnectionPool
    turns: TurnStore
    quarantine: Quarantine
    origins: OriginExchange
    transcripts: Transcripts
    quotas: Quotas
    stop: StopTime
