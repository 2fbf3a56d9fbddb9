from endiveworks.config.adopt import Adoption
from endiveworks.config.codec import encode_bundle
from endiveworks.config.tests.test_codec import BUNDLE
from endiveworks.errors import Code
from hypothesis import given, settings
from hypothesis import strategies as st


class TestAdoption:
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.integers(1, 6), max_size=12))
    def test_the_version_never_goes_down(self, versions: list[int]) -> None:
        adoption = Adoption()
        seen = [0]
        for version in versions:
            adoption.offer(encode_bundle(BUNDLE._replace(version=version)), "peer")
            seen.append(adoption.in_force().bundle.version)
        assert seen == sorted(seen)
        assert seen[-1] == max([0, *versions])

    def test_an_unreadable_bundle_is_refused_and_the_old_one_stays(self) -> None:
        adoption = Adoption()
        assert adoption.offer(encode_bundle(BUNDLE), "kv").unwrap()
        damaged = encode_bundle(BUNDLE._replace(version=9)).replace(b'"slots":4', b'"slots":5')
        assert adoption.offer(damaged, "kv").failure().code == Code.CORRUPT
        assert adoption.in_force().bundle == BUNDLE
        assert adoption.refused == 1
        assert adoption.offer(damaged, "kv").failure().code == Code.CORRUPT
        assert adoption.refused == 1

    def test_two_contents_of_one_version_are_a_conflict(self) -> None:
        adoption = Adoption()
        adoption.offer(encode_bundle(BUNDLE), "kv")
        other = encode_bundle(BUNDLE._replace(services={}, digest=""))
        assert adoption.offer(other, "peer").failure().code == Code.CONFLICT
        assert adoption.in_force().bundle == BUNDLE
