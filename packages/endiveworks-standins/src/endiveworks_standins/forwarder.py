"""Forwards TCP connections, and can drop all further data of a connection in either direction.

Run as `python -m endiveworks_standins.forwarder --port=0`. The address to forward to is set by
POST /standin/target at the control address, the faults by POST /standin/faults.
"""

import argparse
import contextlib
import json
import socket
import sys
import threading
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from cheroot import wsgi

_READ_BYTES = 65536
_MAX_FIRST_BYTES = 512
_BACKLOG_CONNECTIONS = 256


class Faults(NamedTuple):
    """Injected faults.

    A connection that is open while a direction is dropped never delivers data in that direction
    again, and neither end sees an error.

    Attributes:
        to_target: Whether bytes to the target are dropped.
        to_caller: Whether bytes to the caller are dropped.
        refused: Whether new connections are closed immediately.
        senders: Hosts whose connections are affected, by the name in their messages; empty for
            all.
    """

    to_target: bool = False
    to_caller: bool = False
    refused: bool = False
    senders: Sequence[str] = ()


class Link:
    """One forwarded connection; its first bytes contain the sender's name."""

    def __init__(self) -> None:
        self.first_bytes = b""
        self.drops_to_target = False
        self.drops_to_caller = False


class Forwarder:
    """Listener state and connections of one forwarder.

    Attributes:
        target: Address to forward to, as "ip:port".
        accepted: Number of connections accepted so far.
        sent_bytes: Number of bytes forwarded to the target so far.
    """

    def __init__(self) -> None:
        self.target = ""
        self.accepted = 0
        self.sent_bytes = 0
        self._faults = Faults()
        self._links: list[Link] = []
        self._lock = threading.Lock()

    def set_faults(self, faults: Faults) -> None:
        """Applies faults to open and new connections."""
        with self._lock:
            self._faults = faults
            for link in self._links:
                _apply_faults(link, faults)

    def serve(self, listener: socket.socket) -> None:
        """Accepts connections until the process is terminated."""
        while True:
            conn, _ = listener.accept()
            self.accepted += 1
            if self._faults.refused:
                conn.close()
                continue
            threading.Thread(target=self._open, args=(conn,), daemon=True).start()

    def _open(self, caller: socket.socket) -> None:
        link = Link()
        with self._lock:
            _apply_faults(link, self._faults)
            self._links.append(link)
        # A connection that is dropped from its first byte is never opened to the target.
        first = _receive(caller)
        self._record_sent(link, first)
        while first and link.drops_to_target:
            first = _receive(caller)
        target = self._connect(first)
        if target is None:
            caller.close()
            return
        directions = (
            (
                caller,
                target,
                lambda: link.drops_to_target,
                lambda data: self._record_sent(link, data),
            ),
            (target, caller, lambda: link.drops_to_caller, lambda data: None),
        )
        for direction in directions:
            threading.Thread(target=_copy, args=direction, daemon=True).start()

    def count_first_bytes_with(self, text: bytes) -> int:
        """Returns the number of connections whose first bytes contain a text, such as a method."""
        with self._lock:
            return sum(text in link.first_bytes for link in self._links)

    def _connect(self, first: bytes) -> socket.socket | None:
        """Connects to the target and sends the first bytes; returns None if that fails."""
        if not first:
            return None
        host, _, port = self.target.rpartition(":")
        try:
            target = socket.create_connection((host, int(port)))
            target.sendall(first)
        except OSError:
            return None
        return target

    def _record_sent(self, link: Link, data: bytes) -> None:
        """Records bytes to the target before they are forwarded or dropped."""
        with self._lock:
            if not link.first_bytes:
                link.first_bytes = data[:_MAX_FIRST_BYTES]
                _apply_faults(link, self._faults)
            if not link.drops_to_target:
                self.sent_bytes += len(data)


def _receive(conn: socket.socket) -> bytes:
    """Receives bytes from a connection; returns none if it has ended or failed."""
    try:
        return conn.recv(_READ_BYTES)
    except OSError:
        return b""


def _apply_faults(link: Link, faults: Faults) -> None:
    if faults.senders and not any(
        _contains_host(link.first_bytes, host) for host in faults.senders
    ):
        return
    link.drops_to_target = link.drops_to_target or faults.to_target
    link.drops_to_caller = link.drops_to_caller or faults.to_caller


def _contains_host(data: bytes, host: str) -> bool:
    """Returns whether data contains a host's name, which messages prefix with its length."""
    return len(host).to_bytes(4, "big") + host.encode() in data


def _copy(
    source: socket.socket,
    sink: socket.socket,
    drops: Callable[[], bool],
    record: Callable[[bytes], None],
) -> None:
    """Copies bytes in one direction until it closes; a dropped direction hides the close too."""
    with contextlib.suppress(OSError):
        while data := source.recv(_READ_BYTES):
            record(data)
            if not drops():
                sink.sendall(data)
    if not drops():
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)


def _control(forwarder: Forwarder) -> Callable[..., Iterable[bytes]]:
    def respond(environ: Mapping[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = json.loads(environ["wsgi.input"].read(length) or b"{}")
        if environ["PATH_INFO"] == "/standin/target":
            forwarder.target = body["target"]
        elif environ["PATH_INFO"] == "/standin/faults":
            forwarder.set_faults(Faults(**body))
        start_response("200 OK", [("Content-Type", "application/json")])
        counters = {
            "accepted": forwarder.accepted,
            "sent_bytes": forwarder.sent_bytes,
            "submits": forwarder.count_first_bytes_with(b"submit"),
        }
        return [json.dumps(counters).encode()]

    return respond


def main() -> None:
    """Forwards until the process is terminated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    port = parser.parse_args().port
    listener = socket.create_server(("127.0.0.1", port), backlog=_BACKLOG_CONNECTIONS)
    forwarder = Forwarder()
    control = wsgi.Server(("127.0.0.1", 0), _control(forwarder), numthreads=2)
    control.prepare()
    threading.Thread(target=control.serve, daemon=True).start()
    addresses = {
        "address": f"127.0.0.1:{listener.getsockname()[1]}",
        "control": f"127.0.0.1:{control.bind_addr[1]}",
    }
    print(json.dumps({"event": "listening", **addresses}), file=sys.stderr, flush=True)
    forwarder.serve(listener)


if __name__ == "__main__":
    main()
