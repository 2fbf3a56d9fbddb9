"""Membership of this process in its deployment, and the configuration in force."""

import random
import time
from collections.abc import Mapping

from endiveworks.config.active_config import ActiveConfig
from endiveworks.config.bundle import Bundle
from endiveworks.config.follower import Follower
from endiveworks.config.publish import BUNDLE_KEY
from endiveworks.errors import Code, Failure
from endiveworks.kvservice.etcd import connect
from endiveworks.kvservice.host_list import read_host_list
from endiveworks.kvservice.kv import Kv
from endiveworks.links.client import Peers
from endiveworks.links.retry import backoff_s
from endiveworks.links.threads import start_forever
from endiveworks.members.member import Member
from endiveworks.members.membership import Membership
from endiveworks.settings.flags import Values
from endiveworks.telemetry.logs import logger
from endiveworks.wire.gen import Node, ttypes
from returns.result import Success

from .config_links import config_links
from .identity import Identity, new_incarnation
from .registrar import Registrar

_KV_TIMEOUT_S = 2.0
_MEMBER_WATCH_SILENCE_S = 15.0
_CONFIG_WATCH_SILENCE_S = 4.0
_PULL_PERIOD_S = 2.0
_HOST_LIST_PERIOD_S = 2.0
_BASE_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 2.0


class Deployment:
    """The members and the configuration of the deployment, as this process sees them.

    Attributes:
        identity: This process.
        draining: Whether this process accepts no new work.
    """

    def __init__(self, cfg: Values) -> None:
        self.identity = Identity(
            host=cfg.text("host"),
            incarnation=new_incarnation(),
            region=cfg.text("region"),
            failure_domain=cfg.text("failure_domain"),
            config_version=lambda: self.bundle().version,
            config_age_s=lambda: self._follower.age_s(time.monotonic()),
        )
        self.draining = False
        self._kv = connect(cfg.text("kv"), _KV_TIMEOUT_S, _MEMBER_WATCH_SILENCE_S)
        self._config_kv = connect(cfg.text("kv"), _KV_TIMEOUT_S, _CONFIG_WATCH_SILENCE_S)
        self._host_list = cfg.text("host_list")
        self._membership = Membership()
        self._active_config = ActiveConfig()
        self._rng = random.Random(self.identity.incarnation)
        self._registrar = Registrar(self._kv, cfg.number("lease_s"), self._on_superseded, self._rng)
        self._follower = Follower(
            self.identity.host,
            self.identity.region,
            self._active_config,
            self._membership.usable,
            config_links(Peers(Node.Client), self.identity.origin),
            _parse_addresses(cfg.text("seeds")),
            self._rng,
        )

    @property
    def kv(self) -> Kv:
        """Access to the key-value service."""
        return self._kv

    def members(self) -> Mapping[str, Member]:
        """Returns the live processes by host, including those that are draining."""
        return self._membership.members()

    def usable(self) -> Mapping[str, Member]:
        """Returns the processes by host that accept new work, as last recorded."""
        return self._membership.usable()

    def bundle(self) -> Bundle:
        """Returns the configuration in force."""
        return self._active_config.current().bundle

    def encoded_bundle(self) -> bytes:
        """Returns the encoded configuration in force."""
        return self._active_config.current().encoded

    def record_sender(self, origin: ttypes.Origin) -> None:
        """Records the sender of a message: it is alive and may have a newer configuration."""
        self._follower.record_version(origin.host, origin.config_version, time.monotonic())

    def record_call_outcome(self, member: Member, failure: Failure | None) -> None:
        """Records the outcome of a call to a process, which determines whether it gets new work."""
        if failure is None:
            self._membership.record_success(member.host, member.incarnation, draining=False)
        elif failure.code is Code.DRAINING:
            self._membership.record_success(member.host, member.incarnation, draining=True)
        elif failure.code in (Code.UNREACHABLE, Code.TIMEOUT, Code.NO_UPSTREAM):
            self._membership.record_failure(member.host, member.incarnation)

    def register(self, member: Member) -> None:
        """Registers this process and starts to watch the members and the configuration."""
        self._registrar.register(member)
        self._membership.load(self._kv)
        self._load_config()
        follow = self._membership.follow
        start_forever("members", lambda: follow(self._kv, time.sleep, self._rng))
        start_forever("config-pull", self._pull_forever)
        start_forever("config-watch", self._watch_forever)
        if self._host_list:
            start_forever("host-list", self._read_host_list_forever)

    def lease(self) -> int:
        """Returns the lease of this process's registration; 0 while there is none."""
        return self._registrar.lease()

    def set_accepting(self, accepting: bool) -> None:
        """Publishes whether this process accepts new work; can be called any number of times."""
        self._registrar.set_accepting(accepting)

    def drain(self) -> None:
        """Publishes that this process accepts no new work; this is final."""
        self.draining = True
        self._registrar.drain()

    def kv_available_since_s(self) -> float | None:
        """Returns the time from which the key-value service has replied; None while it fails."""
        return self._registrar.available_since_s()

    def deregister(self) -> None:
        """Removes this process from the deployment."""
        self._registrar.deregister()

    def _load_config(self) -> None:
        """Loads the configuration before any work, from a peer or else the key-value service."""
        self._follower.run_round(time.monotonic())
        if self.bundle().version == 0:
            entry = self._kv.read(BUNDLE_KEY).value_or(None)
            self._active_config.adopt(entry.value if entry is not None else b"", BUNDLE_KEY)

    def _on_superseded(self) -> None:
        """Stops accepting new work, because another process has registered under the same name."""
        self.draining = True
        logger("members").error("superseded", incarnation=self.identity.incarnation)

    def _pull_forever(self) -> None:
        while True:
            self._follower.wait(_PULL_PERIOD_S * self._rng.uniform(0.8, 1.2))
            self._follower.run_round(time.monotonic())

    def _watch_forever(self) -> None:
        failures = 0
        while True:
            if not self._follower.should_watch(time.monotonic()):
                time.sleep(_PULL_PERIOD_S / 2)
                continue
            started_s = time.monotonic()
            failure = self._follower.watch(self._config_kv, time.monotonic)
            was_stable = time.monotonic() - started_s > _MAX_BACKOFF_S
            failures = 1 if was_stable or failure is None else failures + 1
            time.sleep(backoff_s(failures, _BASE_BACKOFF_S, _MAX_BACKOFF_S, self._rng.random()))

    def _read_host_list_forever(self) -> None:
        while True:
            read = read_host_list(self._host_list, _KV_TIMEOUT_S)
            if isinstance(read, Success):
                self._membership.apply_host_list(read.unwrap())
            time.sleep(_HOST_LIST_PERIOD_S * self._rng.uniform(0.8, 1.2))


def make_deployment(cfg: Values) -> Deployment:
    """Returns the deployment as this process sees it; the key-value service may be down."""
    return Deployment(cfg)


def _parse_addresses(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(",") if part.strip())
