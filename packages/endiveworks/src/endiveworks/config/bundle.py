"""The configuration in force: services as published in one versioned bundle."""

from collections.abc import Mapping
from typing import NamedTuple


class TenantTerms(NamedTuple):
    """What a service grants a tenant.

    Attributes:
        weight: Share of the service relative to other tenants.
        budget_tokens: Largest budget a program of the tenant may have, in tokens.
    """

    weight: float
    budget_tokens: int


class CostWeights(NamedTuple):
    """Relative weight of a second of program latency and of a thousand wasted cache tokens."""

    latency: float
    wasted_cache: float


class EngineTerms(NamedTuple):
    """What the engines of a service are to have loaded, and how many may change at once.

    Attributes:
        version: Version of the model; empty leaves it as it is.
        role: Role, such as "mixed", "prefill" or "decode"; empty leaves it as it is.
        adapters: Adapters that must be loaded.
        reloads_at_once: Replicas that may be out of service for an order at once.
        min_serving: Other replicas that must serve while one is out.
        store_loads: Loads that the weight store bears at once, of all services together.
    """

    version: str = ""
    role: str = ""
    adapters: tuple[str, ...] = ()
    reloads_at_once: int = 1
    min_serving: int = 1
    store_loads: int = 1


class Service(NamedTuple):
    """One service as its file describes it.

    Attributes:
        name: Name that callers use.
        kind: "model" for engines that answer chat completions, "plain" for other services.
        model: Model name passed to the engine; empty for plain services.
        classes: Priority of each class; a lower number goes first.
        default_class: Class of a program that names none.
        tenants: Terms of each tenant; "*" stands for every tenant not named.
        at_most_once: Operations that must not be repeated.
        checks_fencing: Whether its upstreams refuse orders with an old fencing number.
        weights: Cost weights used by routing and cache decisions.
        deadline_s: Seconds after which a waiting call is given up.
        max_tokens: Largest answer of one call, in tokens.
        slots: Calls that one upstream runs at once, at most.
        engine: What its engines are to have loaded; None gives them no orders.
    """

    name: str
    kind: str
    model: str
    classes: Mapping[str, int]
    default_class: str
    tenants: Mapping[str, TenantTerms]
    at_most_once: frozenset[str]
    checks_fencing: bool
    weights: CostWeights
    deadline_s: float
    max_tokens: int
    slots: int
    engine: EngineTerms | None = None


class Bundle(NamedTuple):
    """All services at one version.

    Attributes:
        version: Number that grows by one with each publication; 0 before the first.
        publisher: Who published it.
        published_at: Seconds since the epoch.
        digest: Hash of the services, equal for equal content.
        services: The services by name.
        publications: Unique ids of the latest publications, newest last. A publisher whose answer
            was lost finds its id here if the write took effect.
    """

    version: int
    publisher: str
    published_at: float
    digest: str
    services: Mapping[str, Service]
    publications: tuple[str, ...] = ()


EMPTY = Bundle(0, "", 0.0, "", {})
