import pytest
from endiveworks.settings.checks import address, addresses, between, not_empty
from endiveworks.settings.flags import Flags, Values, load


def _flags() -> Flags:
    flags = Flags("program", shared=("other",))
    flags.define_string("host", "", "Name of this process.", not_empty)
    flags.define_integer("port", 0, "Port to listen on.", between(0, 65535))
    flags.define_float("wait_s", 1, "Wait in seconds.", between(0, 10))
    flags.define_boolean("color", True, "Whether to use color.")
    flags.define_choice("role", "", ("entry", "upstream"), "What the process does.")
    return flags


def _values(argv: list[str], env: dict[str, str]) -> Values:
    return _flags().parse(argv, env).unwrap()


class TestOrder:
    ENV = {"ENDIVEWORKS_HOST": "from-env", "ENDIVEWORKS_ROLE": "entry", "HOME": "/"}

    def test_precedence_is_flag_then_environment_then_default(self) -> None:
        values = _values(["--host=from-flag", "--nocolor"], self.ENV)
        assert values.text("host") == "from-flag"
        assert values.text("role") == "entry"
        assert values.integer("port") == 0
        assert values.number("wait_s") == 1.0
        assert not values.flag("color")

    def test_empty_flag_overrides_environment(self) -> None:
        errors = _flags().parse(["--host="], self.ENV).failure()
        assert errors == ("--host: a value is required.",)

    def test_arguments_may_appear_between_flags(self) -> None:
        values = _values(["check", "--port", "7", "dir", "--", "--literal"], self.ENV)
        assert values.args == ("check", "dir", "--literal")
        assert values.integer("port") == 7

    def test_registries_are_independent(self) -> None:
        assert _values(["--port=1"], self.ENV).integer("port") == 1
        assert _values([], self.ENV).integer("port") == 0


class TestErrors:
    def test_all_errors_are_listed_at_once(self) -> None:
        env = {"ENDIVEWORKS_PROT": "1", "ENDIVEWORKS_COLOR": "maybe", "ENDIVEWORKS_OTHER": "x"}
        argv = ["--port=many", "--wait_s=11", "--role=boss", "--hots=a", "-x"]
        errors = _flags().parse(argv, env).failure()
        assert [error.split(":")[0] for error in errors] == [
            "Unknown flag --hots; did you mean --host?",
            "Unknown flag --x.",
            "Unknown environment variable ENDIVEWORKS_PROT; did you mean ENDIVEWORKS_PORT?",
            "--host (or ENDIVEWORKS_HOST)",
            "--port",
            "--wait_s",
            "ENDIVEWORKS_COLOR",
            "--role",
        ]

    def test_hint_names_a_variable_of_another_program(self) -> None:
        errors = _flags().parse(["--host=a", "--role=entry"], {"ENDIVEWORKS_OTEHR": "x"}).failure()
        assert errors == (
            "Unknown environment variable ENDIVEWORKS_OTEHR; did you mean ENDIVEWORKS_OTHER?",
        )

    def test_missing_flag_value(self) -> None:
        assert "port" in _flags().parse(["--port"], {}).failure()[0]

    def test_load_ends_the_process(self, capsys: pytest.CaptureFixture[str]) -> None:
        with pytest.raises(SystemExit) as exit_info:
            load(_flags(), ["--host=a"], {})
        assert exit_info.value.code == 64
        assert "program: --role" in capsys.readouterr().err


class TestHelp:
    def test_every_setting_is_named_with_its_variable(self) -> None:
        text = _flags().help_text()
        for name in _flags().names():
            assert f"--{name}" in text.replace("[no]", "")
            assert f"ENDIVEWORKS_{name.upper()}" in text

    def test_help_takes_precedence_over_errors(self, capsys: pytest.CaptureFixture[str]) -> None:
        with pytest.raises(SystemExit) as exit_info:
            load(_flags(), ["--help", "--port=x"], {})
        assert exit_info.value.code == 0
        assert "ENDIVEWORKS_PORT" in capsys.readouterr().out


class TestChecks:
    def test_addresses(self) -> None:
        assert address("127.0.0.1:80") is None
        assert address("[::1]:80") is None
        assert address("localhost:80")
        assert address("127.0.0.1:70000")
        assert address("127.0.0.1")
        assert addresses("127.0.0.1:1, 127.0.0.1:2") is None
        assert addresses("127.0.0.1:1,x")
