"""The active bundle of this process; only a higher version replaces it."""

import threading
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from ..telemetry.logs import logger
from .bundle import EMPTY, Bundle
from .codec import decode_bundle


class ActiveBundle(NamedTuple):
    """A bundle and its encoded bytes, which are empty before the first adoption."""

    bundle: Bundle
    encoded: bytes


class ActiveConfig:
    """Holds the active bundle.

    Attributes:
        refused: Number of bundles that could not be adopted; alarms use it.
    """

    def __init__(self) -> None:
        self.refused = 0
        self._active = ActiveBundle(EMPTY, b"")
        self._lock = threading.Lock()
        self._last_refused = b""

    def current(self) -> ActiveBundle:
        """Returns the active bundle with its encoded bytes."""
        return self._active

    def adopt(self, encoded: bytes, peer: str) -> Result[bool, Failure]:
        """Adopts an encoded bundle if its version is higher.

        Args:
            encoded: The bundle as published.
            peer: Address or key that it was read from, for error messages.

        Returns:
            Whether it was adopted. CORRUPT when it can't be decoded, or CONFLICT when it has the
            version of the active bundle but other content; the active bundle is kept in both cases.
        """
        with self._lock:
            if not encoded or encoded == self._active.encoded:
                return Success(False)
            if encoded == self._last_refused:
                return Err(
                    Failure(Code.CORRUPT, "config.adopt", peer, "this bundle was refused before")
                )
            outcome = decode_bundle(encoded).bind(lambda bundle: self._activate(bundle, encoded))
            if not isinstance(outcome, Success):
                self._record_refusal(encoded, outcome.failure(), peer)
            return outcome

    def _activate(self, bundle: Bundle, encoded: bytes) -> Result[bool, Failure]:
        current = self._active.bundle
        if bundle.version == current.version and bundle.digest != current.digest:
            detail = f"two bundles with different content have version {bundle.version}"
            return Err(Failure(Code.CONFLICT, "config.adopt", "", detail))
        if bundle.version <= current.version:
            return Success(False)
        self._active = ActiveBundle(bundle, encoded)
        logger("config").info("config_adopted", config_version=bundle.version)
        return Success(True)

    def _record_refusal(self, encoded: bytes, failure: Failure, peer: str) -> None:
        self.refused += 1
        self._last_refused = encoded
        logger("config").error(
            "config_refused",
            code=failure.code.value,
            detail=failure.detail,
            peer=peer,
            config_version=self._active.bundle.version,
        )
