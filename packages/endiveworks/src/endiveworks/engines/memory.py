"""Client of an engine's load report and prefix cache."""

from collections.abc import Callable
from typing import NamedTuple, TypedDict, TypeVar

import msgspec
import urllib3
from returns.result import Failure as Err
from returns.result import Result, Success

from ..decoding import DECODE_ERRORS
from ..errors import Code, Failure

_TIMEOUT_S = 2.0

T = TypeVar("T")


class Load(TypedDict):
    """Load of an engine; it lags behind the actual load."""

    running: int
    waiting: int
    running_tokens: int
    cached_tokens: int
    memory_tokens: int


class CachedPrefixes(TypedDict):
    """Tokens of each program's prefix, in the engine's memory and exported to host memory."""

    prefixes: dict[str, int]
    exported: dict[str, int]


class EngineMemory(NamedTuple):
    """Functions that access an engine's memory.

    Attributes:
        load: Reads the load report.
        cached: Lists the cached and the exported prefixes.
        release: Drops the prefix of a program from engine and host memory.
        export_prefix: Exports the prefix of a program to host memory.
        import_prefix: Imports the prefix of a program from host memory.
    """

    load: Callable[[], Result[Load, Failure]]
    cached: Callable[[], Result[CachedPrefixes, Failure]]
    release: Callable[[str], Result[None, Failure]]
    export_prefix: Callable[[str], Result[None, Failure]]
    import_prefix: Callable[[str], Result[None, Failure]]


def engine_memory(base_url: str) -> EngineMemory:
    """Returns functions that access the memory of the engine at a URL."""
    http = urllib3.PoolManager(num_pools=1, maxsize=2)

    def request(
        step: str, method: str, path: str, body: object, result_type: type[T]
    ) -> T | Failure:
        try:
            response = http.request(
                method,
                base_url + path,
                body=msgspec.json.encode(body) if body is not None else None,
                headers={"Content-Type": "application/json"},
                retries=False,
                redirect=False,
                timeout=_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError as exc:
            return Failure(Code.UNREACHABLE, step, base_url, str(exc))
        if response.status != 200:
            detail = f"the engine returned status {response.status}"
            return Failure(Code.UPSTREAM_FAILED, step, base_url, detail)
        try:
            return msgspec.json.decode(response.data, type=result_type)
        except DECODE_ERRORS as exc:
            return Failure(Code.UPSTREAM_FAILED, step, base_url, str(exc))

    def load() -> Result[Load, Failure]:
        return _result(request("engines.load", "GET", "/load", None, Load))

    def cached() -> Result[CachedPrefixes, Failure]:
        return _result(request("engines.cached", "GET", "/cache/list", None, CachedPrefixes))

    def cache_command(name: str) -> Callable[[str], Result[None, Failure]]:
        def post(program: str) -> Result[None, Failure]:
            body = {"cache_salt": program}
            result = request(f"engines.{name}", "POST", f"/cache/{name}", body, dict)
            return _result(result).map(lambda _: None)

        return post

    return EngineMemory(
        load, cached, cache_command("release"), cache_command("export"), cache_command("import")
    )


def _result(result: T | Failure) -> Result[T, Failure]:
    return Err(result) if isinstance(result, Failure) else Success(result)
