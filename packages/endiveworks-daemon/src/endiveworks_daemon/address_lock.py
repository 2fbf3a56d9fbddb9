"""A lock between the processes of one host, held by binding a local address."""

import socket


class AddressLock:
    """Holds the lock while the address is bound, which only one process of the host can do.

    Args:
        address: The address as "ip:port"; if empty, nothing is bound and acquiring always succeeds.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._socket: socket.socket | None = None

    def acquire(self) -> bool:
        """Binds the address unless already bound; returns whether this process holds the lock."""
        if not self._address or self._socket is not None:
            return True
        host, _, port = self._address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.bind((host.strip("[]"), int(port)))
        except OSError:
            sock.close()
            return False
        self._socket = sock
        return True

    def release(self) -> None:
        """Unbinds the address so that another process can bind it."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None
