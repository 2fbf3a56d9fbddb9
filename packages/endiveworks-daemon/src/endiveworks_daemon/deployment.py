"""This process as a member of its deployment: who else is there and what configuration holds."""

import random
import threading
import time
from collections.abc import Callable, Mapping

from endiveworks.config.adopt import Adoption
from endiveworks.config.bundle import Bundle
from endiveworks.config.follower import Follower
from endiveworks.config.publish import BUNDLE_KEY
from endiveworks.errors import Code, Failure
from endiveworks.kvservice.etcd import connect
from endiveworks.kvservice.host_list import read_host_list
from endiveworks.kvservice.kv import Kv
from endiveworks.links.client import Peers
from endiveworks.links.retry import backoff_s
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
_MEMBER_SILENCE_S = 15.0
_CONFIG_SILENCE_S = 4.0
_PULL_PERIOD_S = 2.0
_HOST_LIST_PERIOD_S = 2.0
_BASE_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 2.0


class Deployment:
    """What this process knows of the deployment.

    Attributes:
        identity: This process.
        leaving: Whether it takes no new work.
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
        self.leaving = False
        self._kv = connect(cfg.text("kv"), _KV_TIMEOUT_S, _MEMBER_SILENCE_S)
        self._config_kv = connect(cfg.text("kv"), _KV_TIMEOUT_S, _CONFIG_SILENCE_S)
        self._host_list = cfg.text("host_list")
        self._membership = Membership()
        self._adoption = Adoption()
        self._rng = random.Random(self.identity.incarnation)
        self._registrar = Registrar(self._kv, cfg.number("lease_s"), self._superseded, self._rng)
        self._follower = Follower(
            self.identity.host,
            self.identity.region,
            self._adoption,
            self._membership.usable,
            config_links(Peers(Node.Client), self.identity.origin),
            _addresses(cfg.text("seeds")),
            self._rng,
        )

    @property
    def kv(self) -> Kv:
        """Access to the key-value service."""
        return self._kv

    def members(self) -> Mapping[str, Member]:
        """Returns the live processes by host, those that are leaving included."""
        return self._membership.members()

    def usable(self) -> Mapping[str, Member]:
        """Returns the processes by host that take new work, as far as is known."""
        return self._membership.usable()

    def bundle(self) -> Bundle:
        """Returns the configuration in force."""
        return self._adoption.in_force().bundle

    def encoded_bundle(self) -> bytes:
        """Returns the encoded configuration in force."""
        return self._adoption.in_force().encoded

    def heard(self, origin: ttypes.Origin) -> None:
        """Notes the sender of a message: it is alive, and its configuration may be newer."""
        self._follower.heard(origin.host, origin.config_version, time.monotonic())

    def contacted(self, member: Member, failure: Failure | None) -> None:
        """Notes the outcome of a call to a process; it decides whether it gets new work."""
        if failure is None:
            self._membership.record_success(member.host, member.incarnation, draining=False)
        elif failure.code is Code.DRAINING:
            self._membership.record_success(member.host, member.incarnation, draining=True)
        elif failure.code in (Code.UNREACHABLE, Code.TIMEOUT, Code.NO_UPSTREAM):
            self._membership.record_failure(member.host, member.incarnation)

    def announce(self, member: Member) -> None:
        """Makes this process known to the others and starts to follow the deployment."""
        self._registrar.register(member)
        self._membership.load(self._kv)
        self._follow_once()
        follow = self._membership.follow
        _start("members", lambda: follow(self._kv, time.sleep, self._rng))
        _start("config-pull", self._pull_forever)
        _start("config-watch", self._watch_forever)
        if self._host_list:
            _start("host-list", self._read_host_list_forever)

    def lease(self) -> int:
        """Returns the lease of this process's entry; 0 while there is none."""
        return self._registrar.lease()

    def take_work(self, taking: bool) -> None:
        """Tells the others whether this process takes new work; it may change its mind."""
        self._registrar.set_accepting(taking)

    def leave(self) -> None:
        """Tells the others that this process takes no new work."""
        self.leaving = True
        self._registrar.drain()

    def answered_since_s(self) -> float | None:
        """Returns since when the key-value service has answered this process; None if it fails."""
        return self._registrar.available_since_s()

    def forget(self) -> None:
        """Removes this process from the deployment."""
        self._registrar.deregister()

    def _follow_once(self) -> None:
        """Takes the configuration from a peer, else from the key-value service, before any work."""
        self._follower.run_round(time.monotonic())
        if self.bundle().version == 0:
            entry = self._kv.read(BUNDLE_KEY).value_or(None)
            self._adoption.offer(entry.value if entry is not None else b"", BUNDLE_KEY)

    def _superseded(self) -> None:
        """Stops taking new work, since another process has taken this one's name."""
        self.leaving = True
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
            began_s = time.monotonic()
            failure = self._follower.watch(self._config_kv, time.monotonic)
            lasted = time.monotonic() - began_s > _MAX_BACKOFF_S
            failures = 1 if lasted or failure is None else failures + 1
            time.sleep(backoff_s(failures, _BASE_BACKOFF_S, _MAX_BACKOFF_S, self._rng.random()))

    def _read_host_list_forever(self) -> None:
        while True:
            read = read_host_list(self._host_list, _KV_TIMEOUT_S)
            if isinstance(read, Success):
                self._membership.apply_host_list(read.unwrap())
            time.sleep(_HOST_LIST_PERIOD_S * self._rng.uniform(0.8, 1.2))


def join(cfg: Values) -> Deployment:
    """Returns this process's part in the deployment; the key-value service may be down."""
    return Deployment(cfg)


def _start(name: str, run: Callable[[], None]) -> None:
    threading.Thread(target=run, name=name, daemon=True).start()


def _addresses(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(",") if part.strip())
