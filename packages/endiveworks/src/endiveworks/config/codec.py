"""The bundle as JSON, with objects for its parts so that operators can read it.

A large bundle is compressed, so that the terms of many tenants fit in one value.
"""

import zlib
from collections.abc import Mapping
from typing import Any

import msgspec
import xxhash
from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from .bundle import Bundle, CostWeights, EngineTerms, Service, TenantTerms

# The key-value service takes values up to a megabyte.
MAX_BUNDLE_BYTES = 1_000_000
COMPRESS_FROM_BYTES = 65_536
# Bounds the memory that a damaged value can take.
MAX_PLAIN_BYTES = 64 * 1024 * 1024
_JSON_START = b"{"


def encode_bundle(bundle: Bundle) -> bytes:
    """Returns the JSON form of a bundle, compressed if it is large."""
    data = msgspec.json.encode(_plain(bundle), order="deterministic")
    return zlib.compress(data) if len(data) > COMPRESS_FROM_BYTES else data


def decode_bundle(data: bytes) -> Result[Bundle, Failure]:
    """Returns the bundle in JSON bytes, compressed or not.

    Errors:
        CORRUPT: The bytes are not JSON, a field is missing, unknown or of the wrong type, or the
            digest does not match the services.
    """
    try:
        bundle = _bundle(msgspec.json.decode(_expand(data), type=dict))
    except (zlib.error, msgspec.DecodeError, KeyError, TypeError, AttributeError) as exc:
        return Err(Failure(Code.CORRUPT, "config.decode", "", f"{type(exc).__name__}: {exc}"))
    if bundle.digest != digest(bundle.services):
        return Err(Failure(Code.CORRUPT, "config.decode", "", "digest does not match services"))
    return Success(bundle)


def digest(services: Mapping[str, Service]) -> str:
    """Returns a hash of services that is equal for equal content; empty for none."""
    if not services:
        return ""
    data = msgspec.json.encode(_plain(services), order="deterministic")
    return xxhash.xxh3_128_hexdigest(data)


def _expand(data: bytes) -> bytes:
    """Returns the JSON in an encoded bundle; zlib.error for one that is cut or too long."""
    if data.startswith(_JSON_START):
        return data
    expander = zlib.decompressobj()
    plain = expander.decompress(data, MAX_PLAIN_BYTES)
    if not expander.eof:
        raise zlib.error("the compressed bundle is cut or too long")
    return plain


def _plain(value: Any) -> Any:
    if hasattr(value, "_asdict"):
        return _plain(value._asdict())
    if isinstance(value, Mapping):
        # What is not set is left out, so that digests agree with versions that do not know it.
        return {name: _plain(item) for name, item in value.items() if item is not None}
    if isinstance(value, frozenset):
        return sorted(value)
    return value


def _bundle(fields: dict[str, Any]) -> Bundle:
    services = {name: _service(item) for name, item in fields["services"].items()}
    bundle = Bundle(**{**fields, "services": services})
    # Converting through arrays checks the type of every field.
    return msgspec.convert(msgspec.to_builtins(bundle), Bundle)


def _service(fields: dict[str, Any]) -> Service:
    tenants = {name: TenantTerms(**terms) for name, terms in fields["tenants"].items()}
    weights = CostWeights(**fields["weights"])
    engine = EngineTerms(**fields["engine"]) if "engine" in fields else None
    return Service(**{**fields, "tenants": tenants, "weights": weights, "engine": engine})
