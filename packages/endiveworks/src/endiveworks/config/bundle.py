"""The configuration: all services, published as one versioned bundle."""

from collections.abc import Mapping
from typing import NamedTuple


class TenantSettings(NamedTuple):
    """Settings of one tenant of a service.

    Attributes:
        weight: Share of the service relative to other tenants.
        budget_tokens: Maximum budget of a program of the tenant, in tokens.
    """

    weight: float
    budget_tokens: int


class CostWeights(NamedTuple):
    """Relative weight of a second of program latency and of a thousand wasted cache tokens."""

    latency: float
    wasted_cache: float


class EngineSettings(NamedTuple):
    """What the engines of a service must have loaded, and how many may reload at once.

    Attributes:
        version: Version of the model; empty leaves the loaded version unchanged.
        role: Role, such as "mixed", "prefill" or "decode"; empty leaves the
            role unchanged.
        adapters: Adapters that must be loaded.
        reloads_at_once: Maximum number of replicas out of service at once to carry out orders.
        min_serving: Minimum number of other replicas that must serve while one is out of service.
        store_loads: Maximum number of concurrent loads from the weight store, over all services.
    """

    version: str = ""
    role: str = ""
    adapters: tuple[str, ...] = ()
    reloads_at_once: int = 1
    min_serving: int = 1
    store_loads: int = 1


class Service(NamedTuple):
    """One service, as described by its file.

    Attributes:
        name: Name that callers use.
        kind: "model" for engines that answer chat completions, "plain" for other services.
        model: Model name passed to the engine; empty for plain services.
        classes: Priority of each class; a lower number is served first.
        default_class: Class of a program that names none.
        tenants: Settings of each tenant; "*" applies to every tenant not named.
        at_most_once: Operations that must not be repeated.
        checks_fencing: Whether its upstreams refuse orders with an old fencing number.
        weights: Cost weights used by routing and cache decisions.
        deadline_s: Seconds after which a waiting call is abandoned.
        max_tokens: Maximum length of one call's answer, in tokens.
        slots: Maximum number of concurrent calls on one upstream.
        engine: What its engines must have loaded; None sends them no orders.
    """

    name: str
    kind: str
    model: str
    classes: Mapping[str, int]
    default_class: str
    tenants: Mapping[str, TenantSettings]
    at_most_once: frozenset[str]
    checks_fencing: bool
    weights: CostWeights
    deadline_s: float
    max_tokens: int
    slots: int
    engine: EngineSettings | None = None


class Bundle(NamedTuple):
    """All services at one version.

    Attributes:
        version: Number that increases by one with each publication; 0 before the first.
        publisher: Who published it.
        published_at: Seconds since the epoch.
        digest: Hash of the services, equal for equal content.
        services: The services by name.
        publications: Unique ids of the latest publications, newest last. A publisher that got no
            response finds its id here if the write took effect.
    """

    version: int
    publisher: str
    published_at: float
    digest: str
    services: Mapping[str, Service]
    publications: tuple[str, ...] = ()


EMPTY = Bundle(0, "", 0.0, "", {})
