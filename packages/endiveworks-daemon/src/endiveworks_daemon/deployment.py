"""This process as a member of its deployment: who else is there and what configuration holds."""

import threading
from collections.abc import Mapping

import msgspec
from endiveworks.config.bundle import EMPTY, Bundle
from endiveworks.config.codec import decode_bundle
from endiveworks.members.member import Member
from endiveworks.platform.etcd import connect
from endiveworks.platform.kv import Kv, Swap
from endiveworks.settings.flags import Values
from endiveworks.wire.gen import ttypes
from returns.result import Success

from .identity import Identity, new_incarnation

_HOSTS = "/endiveworks/hosts/"
_BUNDLE = "/endiveworks/config/bundle"
_POLL_S = 0.5
_KV_TIMEOUT_S = 2.0


class Deployment:
    """What this process knows of the deployment.

    Attributes:
        identity: This process.
        leaving: Whether it takes no new work.
    """

    def __init__(self, kv: Kv, cfg: Values) -> None:
        self.identity = Identity(
            host=cfg.text("host"),
            incarnation=new_incarnation(),
            region=cfg.text("region"),
            failure_domain=cfg.text("failure_domain"),
            config_version=lambda: self._bundle.version,
        )
        self.leaving = False
        self._kv = kv
        self._members: dict[str, Member] = {}
        self._bundle = EMPTY
        self._encoded = b""

    def members(self) -> Mapping[str, Member]:
        """Returns the live processes by host."""
        return self._members

    def bundle(self) -> Bundle:
        """Returns the configuration in force."""
        return self._bundle

    def encoded_bundle(self) -> bytes:
        """Returns the encoded configuration in force."""
        return self._encoded

    def heard(self, origin: ttypes.Origin) -> None:
        """Notes the sender of a message."""

    def announce(self, member: Member) -> None:
        """Makes this process known to the others."""
        self._put(member)
        threading.Thread(target=self._poll_forever, name="deployment", daemon=True).start()

    def leave(self) -> None:
        """Tells the others that this process takes no new work."""
        self.leaving = True
        me = self._members.get(self.identity.host)
        if me is not None:
            self._put(me._replace(draining=True))

    def forget(self) -> None:
        """Removes this process from the deployment."""
        self._swap(None)

    def poll(self) -> None:
        """Reads the members and the configuration."""
        found = self._kv.read_prefix(_HOSTS)
        if isinstance(found, Success):
            members = [
                msgspec.json.decode(entry.value, type=Member) for entry in found.unwrap().entries
            ]
            self._members = {member.host: member for member in members}
        entry = self._kv.read(_BUNDLE).value_or(None)
        if entry is not None and entry.value != self._encoded:
            bundle = decode_bundle(entry.value).value_or(EMPTY)
            if bundle.version > self._bundle.version:
                self._bundle, self._encoded = bundle, entry.value

    def _poll_forever(self) -> None:
        wake = threading.Event()
        while True:
            self.poll()
            wake.wait(_POLL_S)

    def _put(self, member: Member) -> None:
        self._swap(msgspec.json.encode(member))
        self.poll()

    def _swap(self, value: bytes | None) -> None:
        key = f"{_HOSTS}{self.identity.host}"
        current = self._kv.read(key).value_or(None)
        revision = current.mod_revision if current is not None else 0
        self._kv.swap(Swap(key, value, revision))


def join(cfg: Values) -> Deployment:
    """Connects to the key-value service and reads what it holds."""
    deployment = Deployment(connect(cfg.text("kv"), _KV_TIMEOUT_S), cfg)
    deployment.poll()
    return deployment
