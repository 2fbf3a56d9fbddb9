"""The bundle in force in this process; only a higher version ever replaces it."""

import threading
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from ..telemetry.logs import logger
from .bundle import EMPTY, Bundle
from .codec import decode_bundle


class InForce(NamedTuple):
    """A bundle and the bytes it was read from; empty bytes before the first adoption."""

    bundle: Bundle
    encoded: bytes


class Adoption:
    """Holds the bundle in force.

    Attributes:
        refused: How many bundles could not be adopted, for alarms.
    """

    def __init__(self) -> None:
        self.refused = 0
        self._now = InForce(EMPTY, b"")
        self._lock = threading.Lock()
        self._last_refused = b""

    def in_force(self) -> InForce:
        """Returns the bundle in force with its bytes."""
        return self._now

    def offer(self, encoded: bytes, peer: str) -> Result[bool, Failure]:
        """Adopts an encoded bundle if its version is higher.

        Args:
            encoded: The bundle as published.
            peer: Where it came from, for errors.

        Returns:
            Whether it was adopted. CORRUPT when it can't be read, or CONFLICT when its version is
            the one in force and its content is not; the bundle in force then stays.
        """
        with self._lock:
            if not encoded or encoded == self._now.encoded:
                return Success(False)
            if encoded == self._last_refused:
                return Err(Failure(Code.CORRUPT, "config.adopt", peer, "refused before"))
            outcome = decode_bundle(encoded).bind(lambda bundle: self._adopt(bundle, encoded))
            if not isinstance(outcome, Success):
                self._refuse(encoded, outcome.failure(), peer)
            return outcome

    def _adopt(self, bundle: Bundle, encoded: bytes) -> Result[bool, Failure]:
        current = self._now.bundle
        if bundle.version == current.version and bundle.digest != current.digest:
            detail = f"two bundles have version {bundle.version}"
            return Err(Failure(Code.CONFLICT, "config.adopt", "", detail))
        if bundle.version <= current.version:
            return Success(False)
        self._now = InForce(bundle, encoded)
        logger("config").info("config_adopted", config_version=bundle.version)
        return Success(True)

    def _refuse(self, encoded: bytes, failure: Failure, peer: str) -> None:
        self.refused += 1
        self._last_refused = encoded
        logger("config").error(
            "config_refused",
            code=failure.code.value,
            detail=failure.detail,
            peer=peer,
            config_version=self._now.bundle.version,
        )
