from endiveworks.config.active_config import ActiveConfig
from endiveworks.config.codec import encode_bundle
from endiveworks.config.tests.test_codec import BUNDLE
from endiveworks.errors import Code
from hypothesis import given, settings
from hypothesis import strategies as st


class TestActiveConfig:
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.integers(1, 6), max_size=12))
    def test_the_version_never_goes_down(self, versions: list[int]) -> None:
        active_config = ActiveConfig()
        seen = [0]
        for version in versions:
            active_config.adopt(encode_bundle(BUNDLE._replace(version=version)), "peer")
            seen.append(active_config.current().bundle.version)
        assert seen == sorted(seen)
        assert seen[-1] == max([0, *versions])

    def test_an_unreadable_bundle_is_refused_and_the_old_one_stays(self) -> None:
        active_config = ActiveConfig()
        assert active_config.adopt(encode_bundle(BUNDLE), "kv").unwrap()
        damaged = encode_bundle(BUNDLE._replace(version=9)).replace(b'"slots":4', b'"slots":5')
        assert active_config.adopt(damaged, "kv").failure().code == Code.CORRUPT
        assert active_config.current().bundle == BUNDLE
        assert active_config.refused == 1
        assert active_config.adopt(damaged, "kv").failure().code == Code.CORRUPT
        assert active_config.refused == 1

    def test_two_contents_of_one_version_are_a_conflict(self) -> None:
        active_config = ActiveConfig()
        active_config.adopt(encode_bundle(BUNDLE), "kv")
        other = encode_bundle(BUNDLE._replace(services={}, digest=""))
        assert active_config.adopt(other, "peer").failure().code == Code.CONFLICT
        assert active_config.current().bundle == BUNDLE
