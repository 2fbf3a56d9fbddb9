"""A local address that only one process of a host can have bound."""

import socket


class AddressGuard:
    """Binds an address, and so keeps the other processes of the host from having it.

    Args:
        address: The address; empty binds none.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._bound: socket.socket | None = None

    def hold(self) -> bool:
        """Binds the address; returns whether this process has it."""
        if not self._address or self._bound is not None:
            return True
        host, _, port = self._address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.bind((host.strip("[]"), int(port)))
        except OSError:
            sock.close()
            return False
        self._bound = sock
        return True

    def release(self) -> None:
        """Lets another process have the address."""
        if self._bound is not None:
            self._bound.close()
            self._bound = None
