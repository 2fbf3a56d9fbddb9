"""docs/OPERATIONS.md names everything that operators meet; a row that is missing is printed."""

import re
from collections.abc import Iterable
from pathlib import Path

import pytest
from endiveworks.config.bundle import CostWeights, EngineSettings, Service, TenantSettings
from endiveworks.errors import Code
from endiveworks.settings.flags import Flags
from endiveworks.telemetry.fields import LOG_FIELDS
from endiveworks_ctl import settings
from endiveworks_ctl.exits import MEANING
from endiveworks_ctl.main import COMMANDS
from endiveworks_daemon.options import daemon_flags

from tests.constants_page import PAGE, page

_ROOT = Path(__file__).parents[1]
_DOCS = (_ROOT / "docs" / "OPERATIONS.md").read_text()
_LOG_CALL = re.compile(r"\.(?:debug|info|warning|error|exception)\(\s*\"([a-z0-9_]+)\"")
_METRIC_CALL = re.compile(r"(?:\.(?:count|record|gauge)|_record)\(\s*f?\"([a-z_]+)")
_BY_USER = "publisher"


def _sources() -> Iterable[str]:
    for package in ("endiveworks", "endiveworks-daemon", "endiveworks-ctl"):
        for path in (_ROOT / "packages" / package / "src").rglob("*.py"):
            if "tests" not in path.parts and "gen" not in path.parts:
                yield path.read_text()


def _rows_without(names: Iterable[str]) -> list[str]:
    return sorted(name for name in set(names) if f"| `{name}` |" not in _DOCS)


class TestSettings:
    @pytest.mark.parametrize("flags", [daemon_flags(), settings.define()], ids=lambda f: f.program)
    def test_every_flag_with_default_and_help(self, flags: Flags) -> None:
        rows = []
        for found in flags.setting_docs():
            default = "the user's name" if found.name == _BY_USER else f"`{found.default}`"
            default = "" if found.default == "" else default
            rows.append(f"| `--{found.name}` | {default} | {found.help} |")
        assert not [row for row in rows if row not in _DOCS]


class TestServiceFiles:
    def test_every_key(self) -> None:
        keys = [*Service._fields]
        keys += [f"tenants.NAME.{key}" for key in TenantSettings._fields]
        keys += [f"engine.{key}" for key in EngineSettings._fields]
        keys += [f"weights.{key}" for key in CostWeights._fields]
        assert not _rows_without(keys)


class TestCodes:
    def test_every_error_code(self) -> None:
        assert not _rows_without(code.value for code in Code)

    def test_every_exit_code(self) -> None:
        rows = [f"| `{code.value}` | {meaning} |" for code, meaning in MEANING.items()]
        assert not [row for row in rows if row not in _DOCS]

    def test_every_command(self) -> None:
        assert not [name for name in COMMANDS if f"`endivectl {name}" not in _DOCS]


class TestTelemetry:
    def test_every_log_event(self) -> None:
        found = {name for text in _sources() for name in _LOG_CALL.findall(text)}
        assert "listening" in found
        assert not _rows_without(found)

    def test_every_log_field(self) -> None:
        assert not [
            name for name, text in LOG_FIELDS.items() if f"| `{name}` | {text} |" not in _DOCS
        ]

    def test_every_metric(self) -> None:
        found = {name for text in _sources() for name in _METRIC_CALL.findall(text)}
        assert "program_ms" in found
        assert not [name for name in found if not re.search(rf"\| `{name}[a-z0-9]*` \|", _DOCS)]


class TestConstants:
    def test_the_page_is_as_the_sources(self) -> None:
        assert PAGE.read_text() == page(), "run: python tests/constants_page.py"

    def test_each_says_where_it_comes_from(self) -> None:
        assert [row for row in page().splitlines() if row.endswith("|  |")] == []
