"""HTTP connections that raise an error where the library would hand on an incomplete response.

The library ignores that a request couldn't be sent completely, and reads on. The cause, such as a
reset of the connection, was reported to the write by then, so the reader sees an ordinary end.
"""

import http.client
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, Protocol

import urllib3
from urllib3.connection import HTTPConnection

_FIRST_FINAL_STATUS = 200  # Lower ones announce another response, which the library doesn't read.
_LAST_STATUS = 599


class HttpResponse(Protocol):
    """What is_framed needs of a response."""

    @property
    def status(self) -> int:
        """The HTTP status."""

    @property
    def headers(self) -> Mapping[str, str]:
        """The headers."""


class _WholeLines:
    """A response's file that raises an error at the end of the connection within a line.

    The HTTP parser would take the first digits of a chunk's size, or of a header, for all of it.
    """

    def __init__(self, file: Any) -> None:
        self._file = file

    def readline(self, limit: int = -1) -> bytes:
        """Returns the next line; raises IncompleteRead if the connection ends within it."""
        line: bytes = self._file.readline(limit)
        if line and not line.endswith(b"\n") and (limit < 0 or len(line) < limit):
            raise http.client.IncompleteRead(line)
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)


class _Response(http.client.HTTPResponse):
    def __init__(self, *args: Any, **named: Any) -> None:
        super().__init__(*args, **named)
        self.fp: Any = _WholeLines(self.fp)


class _Connection(HTTPConnection):
    response_class = _Response

    def __init__(self, *args: Any, **named: Any) -> None:
        super().__init__(*args, **named)
        self._is_request_cut = False

    def connect(self) -> None:
        """Opens the connection."""
        self._is_request_cut = False
        super().connect()

    def send(self, data: Any) -> None:
        """Sends a part of a request."""
        try:
            super().send(data)
        except OSError:
            self._is_request_cut = True
            raise

    def getresponse(self) -> urllib3.HTTPResponse:  # type: ignore[override]
        """Reads the head of a response.

        Raises:
            ProtocolError: It is no final one, or its end could not be told from a reset.
        """
        response = super().getresponse()
        if not _FIRST_FINAL_STATUS <= response.status <= _LAST_STATUS:
            self.close()
            raise urllib3.exceptions.ProtocolError("the response has no final status")
        if self._is_request_cut and not is_framed(response):
            self.close()
            raise urllib3.exceptions.ProtocolError(
                "the response has no length, and the connection was lost while the request was sent"
            )
        return response


class _ConnectionPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


def pool_manager(num_pools: int = 10, **settings: Any) -> urllib3.PoolManager:
    """Returns a pool of connections; settings are those of urllib3."""
    pools = urllib3.PoolManager(num_pools=num_pools, **settings)
    pools.pool_classes_by_scheme = {**pools.pool_classes_by_scheme, "http": _ConnectionPool}
    return pools


def is_framed(response: HttpResponse) -> bool:
    """Returns whether a response says where its body ends, other than with its connection."""
    if response.status == HTTPStatus.NO_CONTENT:
        return True
    if response.headers.get("Content-Length", "").strip().isdigit():
        return True
    return response.headers.get("Transfer-Encoding", "").lower() == "chunked"
