import json
import random
import zlib

from endiveworks.config.bundle import EMPTY, Bundle, CostWeights, Service, TenantSettings
from endiveworks.config.codec import (
    MAX_BUNDLE_BYTES,
    MAX_DECOMPRESSED_BYTES,
    decode_bundle,
    digest,
    encode_bundle,
)
from endiveworks.errors import Code

SHOP = Service(
    name="shop",
    kind="plain",
    model="",
    classes={"front": 0, "back": 1},
    default_class="back",
    tenants={"*": TenantSettings(1.0, 1000)},
    at_most_once=frozenset({"order", "cut"}),
    checks_fencing=False,
    weights=CostWeights(1.0, 0.5),
    deadline_s=30.0,
    max_tokens=1,
    slots=4,
)
TENANTS = 19_000
BUNDLE = Bundle(3, "ann", 12.5, digest({"shop": SHOP}), {"shop": SHOP}, ("a", "b"))


class TestCodec:
    def test_round_trip(self) -> None:
        assert decode_bundle(encode_bundle(BUNDLE)).unwrap() == BUNDLE
        assert decode_bundle(encode_bundle(EMPTY)).unwrap() == EMPTY

    def test_what_cannot_be_read_is_corrupt(self) -> None:
        fields = json.loads(encode_bundle(BUNDLE))
        shop = fields["services"]["shop"]
        damaged = [
            b"{",
            b"[]",
            json.dumps({**fields, "colour": 1}).encode(),
            json.dumps({**fields, "version": "3"}).encode(),
            json.dumps({**fields, "services": {"shop": {**shop, "slots": "4"}}}).encode(),
            json.dumps({**fields, "services": {"shop": {**shop, "slots": 5}}}).encode(),
            json.dumps({**fields, "services": {"shop": {**shop, "tenants": []}}}).encode(),
            json.dumps({**fields, "services": {"shop": None}}).encode(),
        ]
        codes = [decode_bundle(data).failure().code for data in damaged]
        assert codes == [Code.CORRUPT] * len(damaged)


class TestLargeBundle:
    def test_names_every_tenant_of_the_planned_size(self) -> None:
        bundle = _large(TENANTS)
        data = encode_bundle(bundle)
        assert len(data) <= MAX_BUNDLE_BYTES
        assert decode_bundle(data).unwrap() == bundle

    def test_one_that_is_cut_or_damaged_is_corrupt(self) -> None:
        data = encode_bundle(_large(TENANTS))
        damaged = [data[:-1], data[:100], data[:50] + bytes([data[50] ^ 1]) + data[51:]]
        codes = [decode_bundle(each).failure().code for each in damaged]
        assert codes == [Code.CORRUPT] * len(damaged)

    def test_one_that_expands_without_end_is_corrupt(self) -> None:
        bomb = zlib.compress(b" " * (MAX_DECOMPRESSED_BYTES + 1))
        assert decode_bundle(bomb).failure().code is Code.CORRUPT


def _large(tenants: int) -> Bundle:
    rng = random.Random(1)
    settings = {
        f"team-{rng.randbytes(6).hex()}": TenantSettings(
            rng.uniform(0.1, 9.9), rng.randrange(1 << 30)
        )
        for _ in range(tenants)
    }
    services = {"shop": SHOP._replace(tenants=settings)}
    return Bundle(3, "ann", 12.5, digest(services), services, ("a",))


class TestDigest:
    def test_does_not_depend_on_the_order_of_keys(self) -> None:
        other = SHOP._replace(classes={"back": 1, "front": 0})
        assert digest({"a": SHOP, "b": other}) == digest({"b": other, "a": SHOP})
