from pathlib import Path

from endiveworks.config.bundle import Bundle, CostWeights, EngineSettings, TenantSettings
from endiveworks.config.codec import decode_bundle, digest, encode_bundle
from endiveworks.config.service_file import Problem, check, collect

EXAMPLES = Path(__file__).parents[6] / "examples" / "services"


def problems_of(tmp_path: Path, *edits: tuple[str, str]) -> tuple[Problem, ...]:
    text = (EXAMPLES / "assistant.toml").read_text()
    for old, new in edits:
        assert old in text
        text = text.replace(old, new)
    path = tmp_path / "edited.toml"
    path.write_text(text)
    return check(path).failure()


class TestCheck:
    def test_the_examples_are_valid(self) -> None:
        service = check(EXAMPLES / "assistant.toml").unwrap()
        assert service.classes == {"front": 0, "back": 1}
        assert service.tenants["signs"] == TenantSettings(2.0, 490_000)
        assert service.weights == CostWeights(2.0, 1.0)
        shop = check(EXAMPLES / "shop.toml").unwrap()
        assert shop.at_most_once == frozenset({"order"})

    def test_whole_numbers_are_decoded_as_they_were_published(self, tmp_path: Path) -> None:
        text = (EXAMPLES / "assistant.toml").read_text()
        path = tmp_path / "whole.toml"
        path.write_text(text.replace("60.0", "60").replace("2.0", "2").replace("1.0", "1"))
        services = {"assistant": check(path).unwrap()}
        bundle = Bundle(1, "ops", 0.0, digest(services), services)
        assert decode_bundle(encode_bundle(bundle)).unwrap() == bundle

    def test_lists_every_problem_at_once(self, tmp_path: Path) -> None:
        found = problems_of(
            tmp_path,
            ("deadline_s = 60.0", "deadline_ss = nan"),
            ('kind = "model"', 'kind = "modle"'),
            ("front = 0", "front = true"),
            ("[tenants.signs]\nweight = 2.0", "[tenants.signs]\nweight = -2"),
            ('default_class = "back"', 'default_class = "middle"'),
        )
        assert {problem.key for problem in found} == {
            "deadline_s",
            "deadline_ss",
            "kind",
            "classes.front",
            "tenants.signs.weight",
            "default_class",
        }
        assert all(problem.file.endswith("edited.toml") for problem in found)

    def test_an_unknown_key_names_the_near_match(self, tmp_path: Path) -> None:
        found = problems_of(tmp_path, ("slots = 16", "slots = 16\nchecks_fence = true"))
        assert [problem.key for problem in found] == ["checks_fence"]
        assert 'did you mean "checks_fencing"' in found[0].allowed

    def test_kind_and_model_go_together(self, tmp_path: Path) -> None:
        assert problems_of(tmp_path, ('kind = "model"', 'kind = "plain"'))[0].key == "model"
        assert problems_of(tmp_path, ('model = "assist-small"', ""))[0].found == "nothing"

    def test_a_file_that_is_not_toml_is_one_problem(self, tmp_path: Path) -> None:
        path = tmp_path / "a.toml"
        for content in (b"name = ", b"\xff\xfe", b"#" * 100_000):
            path.write_bytes(content)
            assert [problem.key for problem in check(path).failure()] == [""]
        assert check(tmp_path / "none.toml").failure()[0].found == "No such file or directory"


class TestEngine:
    TEXT = (EXAMPLES / "assistant.toml").read_text()

    def test_terms_are_decoded_as_they_were_published(self, tmp_path: Path) -> None:
        path = tmp_path / "engine.toml"
        path.write_text(self.TEXT + '[engine]\nversion = "2"\nadapters = ["gold"]\n')
        services = {"assistant": check(path).unwrap()}
        assert services["assistant"].engine == EngineSettings("2", "", ("gold",), 1, 1, 1)
        bundle = Bundle(1, "ops", 0.0, digest(services), services)
        assert decode_bundle(encode_bundle(bundle)).unwrap() == bundle

    def test_without_the_table_the_bundle_is_the_one_of_older_versions(self) -> None:
        services = {"assistant": check(EXAMPLES / "assistant.toml").unwrap()}
        assert services["assistant"].engine is None
        bundle = Bundle(1, "ops", 0.0, digest(services), services)
        assert b'"engine"' not in encode_bundle(bundle)

    def test_wrong_terms_and_a_plain_service_are_problems(self, tmp_path: Path) -> None:
        path = tmp_path / "engine.toml"
        path.write_text(self.TEXT + '[engine]\nversion = 2\nadapters = ["a", "a"]\nroles = ""\n')
        keys = {problem.key for problem in check(path).failure()}
        assert keys == {"engine.version", "engine.adapters", "engine.roles"}
        path.write_text((EXAMPLES / "shop.toml").read_text() + "[engine]\n")
        assert [problem.key for problem in check(path).failure()] == ["engine"]


class TestCollect:
    def test_reads_every_file_of_a_folder(self) -> None:
        assert set(collect([EXAMPLES]).unwrap().services) == {"assistant", "shop"}

    def test_a_name_used_twice_is_a_problem(self, tmp_path: Path) -> None:
        for name in ("a.toml", "b.toml"):
            (tmp_path / name).write_text((EXAMPLES / "shop.toml").read_text())
        found = collect([tmp_path]).failure()
        assert [problem.key for problem in found] == ["name"]
        assert "a.toml" in found[0].allowed

    def test_a_folder_without_files_is_a_problem(self, tmp_path: Path) -> None:
        assert collect([tmp_path]).failure()[0].found == "no service file"
