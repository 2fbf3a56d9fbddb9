"""Encoding of the bundle as JSON with named fields, so that operators can read it.

A large bundle is compressed, so that the settings of many tenants fit in one value.
"""

import zlib
from collections.abc import Mapping
from typing import Any

import msgspec
import xxhash
from returns.result import Failure as Err
from returns.result import Result, Success

from ..decoding import DECODE_ERRORS
from ..errors import Code, Failure
from .bundle import Bundle, CostWeights, EngineSettings, Service, TenantSettings

# The key-value service takes values up to a megabyte.
MAX_BUNDLE_BYTES = 1_000_000
COMPRESS_FROM_BYTES = 65_536
# Limits the memory that decompressing a damaged value can use.
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
_JSON_START = b"{"


def encode_bundle(bundle: Bundle) -> bytes:
    """Returns the JSON form of a bundle, compressed if it is large."""
    data = msgspec.json.encode(_to_builtins(bundle), order="deterministic")
    return zlib.compress(data) if len(data) > COMPRESS_FROM_BYTES else data


def decode_bundle(data: bytes) -> Result[Bundle, Failure]:
    """Returns the bundle in JSON bytes, compressed or not.

    Errors:
        CORRUPT: The bytes are not JSON, a field is missing, unknown or of the wrong type, or the
            digest does not match the services.
    """
    try:
        bundle = _build_bundle(msgspec.json.decode(_decompress(data), type=dict))
    except (zlib.error, *DECODE_ERRORS) as exc:
        return Err(Failure(Code.CORRUPT, "config.decode", "", f"{type(exc).__name__}: {exc}"))
    if bundle.digest != digest(bundle.services):
        return Err(Failure(Code.CORRUPT, "config.decode", "", "digest does not match services"))
    return Success(bundle)


def digest(services: Mapping[str, Service]) -> str:
    """Returns a hash of services that is equal for equal content; empty for none."""
    if not services:
        return ""
    data = msgspec.json.encode(_to_builtins(services), order="deterministic")
    return xxhash.xxh3_128_hexdigest(data)


def _decompress(data: bytes) -> bytes:
    """Returns the JSON of an encoded bundle; raises zlib.error if truncated or too large."""
    if data.startswith(_JSON_START):
        return data
    decompressor = zlib.decompressobj()
    plain = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise zlib.error("the compressed bundle is truncated or too large")
    return plain


def _to_builtins(value: Any) -> Any:
    if hasattr(value, "_asdict"):
        return _to_builtins(value._asdict())
    if isinstance(value, Mapping):
        # Unset fields are omitted, so that digests agree with versions that lack the field.
        return {name: _to_builtins(item) for name, item in value.items() if item is not None}
    if isinstance(value, frozenset):
        return sorted(value)
    return value


def _build_bundle(fields: dict[str, Any]) -> Bundle:
    services = {name: _build_service(item) for name, item in fields["services"].items()}
    bundle = Bundle(**{**fields, "services": services})
    # The conversion through arrays validates the type of every field.
    return msgspec.convert(msgspec.to_builtins(bundle), Bundle)


def _build_service(fields: dict[str, Any]) -> Service:
    tenants = {name: TenantSettings(**settings) for name, settings in fields["tenants"].items()}
    weights = CostWeights(**fields["weights"])
    engine = EngineSettings(**fields["engine"]) if "engine" in fields else None
    return Service(**{**fields, "tenants": tenants, "weights": weights, "engine": engine})
