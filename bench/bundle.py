"""Measures the bundle with the terms of many tenants: its size, and the time to read it."""

import json
import random
import statistics
import sys
import time
import zlib
from collections.abc import Sequence

from endiveworks.config.bundle import Bundle, CostWeights, Service, TenantSettings
from endiveworks.config.codec import MAX_BUNDLE_BYTES, decode_bundle, digest, encode_bundle

SEED = 1
TENANTS = (100, 1_000, 5_000, 19_000)
REPEATS = 5


def bundle_of(tenants: int, rng: random.Random) -> Bundle:
    """Returns a bundle of one service that names a number of tenants with terms of their own."""
    terms = {
        f"team-{rng.randbytes(6).hex()}": TenantSettings(
            rng.uniform(0.1, 9.9), rng.randrange(1 << 30)
        )
        for _ in range(tenants)
    }
    service = Service(
        name="assistant",
        kind="model",
        model="m",
        classes={"front": 0},
        default_class="front",
        tenants=terms,
        at_most_once=frozenset(),
        checks_fencing=True,
        weights=CostWeights(1.0, 1.0),
        deadline_s=60.0,
        max_tokens=1000,
        slots=8,
    )
    services = {"assistant": service}
    return Bundle(1, "bench", 0.0, digest(services), services, ())


def decode_s(data: bytes) -> float:
    """Returns the median time to read a bundle, in seconds."""
    times = []
    for _ in range(REPEATS):
        start_s = time.perf_counter()
        decode_bundle(data).unwrap()
        times.append(time.perf_counter() - start_s)
    return statistics.median(times)


def main(sizes: Sequence[int]) -> None:
    """Prints one JSON line for each number of tenants."""
    rng = random.Random(SEED)
    for tenants in sizes:
        data = encode_bundle(bundle_of(tenants, rng))
        plain = data if data.startswith(b"{") else zlib.decompress(data)
        figure = {
            "tenants": tenants,
            "seed": SEED,
            "plain_bytes": len(plain),
            "bytes": len(data),
            "share_of_limit": len(data) / MAX_BUNDLE_BYTES,
            "decode_ms": 1000 * decode_s(data),
        }
        print(json.dumps(figure))


if __name__ == "__main__":
    main([int(size) for size in sys.argv[1:]] or TENANTS)
