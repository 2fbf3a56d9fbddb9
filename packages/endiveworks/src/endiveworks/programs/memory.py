"""Bounds what the programs of a host take, and refuses what would go beyond it."""

import math
import threading

from ..errors import Code, Failure

# Share of the memory for programs that their state may take. Snapshots and messages to other hosts
# take as much again for a while.
STATE_SHARE = 0.4
# Share of the state up to which programs are opened; calls of open ones have the rest.
OPEN_SHARE = 0.9
# Share of the state that one tenant's programs may take.
TENANT_SHARE = 0.75
# State of one program, whose snapshot is one record of the log.
MAX_PROGRAM_BYTES = 24 * 1024 * 1024
RETRY_S = 10.0  # Time after which a refused caller returns.


class ProgramMemory:
    """The bytes of the programs of a host. Methods may be called from any thread.

    Args:
        memory_bytes: Memory for programs, in bytes; infinite for no limit.
    """

    def __init__(self, memory_bytes: float = math.inf) -> None:
        self.bound = memory_bytes * STATE_SHARE
        self._lock = threading.Lock()
        self._used = 0
        self._by_tenant: dict[str, int] = {}

    def add(self, tenant: str, size: int) -> None:
        """Adds bytes of a tenant's programs, or takes them off if negative."""
        with self._lock:
            self._used += size
            left = self._by_tenant.get(tenant, 0) + size
            if left:
                self._by_tenant[tenant] = left
            else:
                self._by_tenant.pop(tenant, None)

    def used(self, tenant: str | None = None) -> int:
        """Returns the bytes of all programs, or of those of one tenant."""
        with self._lock:
            return self._used if tenant is None else self._by_tenant.get(tenant, 0)

    def largest(self) -> tuple[str, int]:
        """Returns the tenant whose programs take most, and their bytes."""
        with self._lock:
            return max(self._by_tenant.items(), key=lambda item: item[1], default=("", 0))

    def refuse_program(self, tenant: str) -> Failure | None:
        """Returns why no program may be opened; None if one may."""
        return self._refuse("programs.open", tenant, 0, OPEN_SHARE)

    def refuse_call(self, tenant: str, size: int, program_bytes: int) -> Failure | None:
        """Returns why a call may not begin; None if it may.

        Args:
            tenant: Tenant of the program.
            size: Bytes of the request body.
            program_bytes: Bytes of the program.
        """
        if program_bytes + size > MAX_PROGRAM_BYTES:
            detail = (
                f"the calls of the program take {program_bytes} bytes; with this one they would "
                f"take more than the {MAX_PROGRAM_BYTES} that are kept of one program"
            )
            return Failure(Code.OVERLOADED, "programs.start", "", detail, not_run=True)
        return self._refuse("programs.start", tenant, size, 1.0)

    def _refuse(self, step: str, tenant: str, size: int, share: float) -> Failure | None:
        used = self.used()
        if used + size <= self.bound * share:
            of_tenant = self.used(tenant) + size
            if of_tenant <= self.bound * TENANT_SHARE * share:
                return None
        detail = f"the programs of this host take {used} bytes, and there is no room for more"
        return Failure(Code.OVERLOADED, step, "", detail, True, RETRY_S)
