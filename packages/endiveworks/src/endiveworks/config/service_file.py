"""Service files: one TOML file per service, validated before publication."""

import difflib
import tomllib
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from . import rules
from .bundle import CostWeights, EngineSettings, Service, TenantSettings
from .rules import REQUIRED, Rule

_MAX_FILE_BYTES = 65_536
_MAX_FOUND_CHARS = 80
_NOT_SET = "nothing"
_MODEL, _PLAIN = "model", "plain"


class Problem(NamedTuple):
    """One error in a service file.

    Attributes:
        file: Path of the file.
        key: Path of the key, such as "tenants.signs.weight"; empty for the file itself.
        found: What the file contains there.
        allowed: Description of the allowed values.
    """

    file: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Formats the problem for a terminal."""
        where = f"{self.file}: {self.key}" if self.key else self.file
        return f"{where}: found {self.found}; allowed: {self.allowed}"


class ServiceSet(NamedTuple):
    """The services read from several files, by name."""

    services: Mapping[str, Service]


_SERVICE_RULES: Mapping[str, Rule] = {
    "name": Rule(
        "a name of lower-case letters, digits, dots, hyphens and underscores", rules.is_name
    ),
    "kind": Rule(f'"{_MODEL}" or "{_PLAIN}"', rules.one_of(_MODEL, _PLAIN)),
    "model": Rule("a model name", rules.is_text, ""),
    "classes": Rule("a table of class names with priorities", rules.is_non_empty_table),
    "default_class": Rule("the name of one of the classes", rules.is_name),
    "tenants": Rule("a table of tenants, each a table of settings", rules.is_non_empty_table),
    "at_most_once": Rule("a list of different operation names", rules.is_name_list, ()),
    "checks_fencing": Rule("true or false", rules.is_boolean, False),
    "weights": Rule("a table of cost weights", rules.is_table, {}),
    "deadline_s": Rule("seconds from 0.1 to 86400", rules.number_between(0.1, 86_400.0)),
    "max_tokens": Rule("a whole number from 1 to 1000000", rules.integer_between(1, 1_000_000), 1),
    "slots": Rule("a whole number from 1 to 10000", rules.integer_between(1, 10_000)),
    "engine": Rule("a table of engine settings", rules.is_table, None),
}
_ENGINE_RULES: Mapping[str, Rule] = {
    "version": Rule("the version of a model", rules.is_text, ""),
    "role": Rule("the name of a role", rules.is_text, ""),
    "adapters": Rule("a list of different adapter names", rules.is_name_list, ()),
    "reloads_at_once": Rule("a whole number from 1 to 1000", rules.integer_between(1, 1_000), 1),
    "min_serving": Rule("a whole number from 0 to 1000", rules.integer_between(0, 1_000), 1),
    "store_loads": Rule("a whole number from 1 to 1000", rules.integer_between(1, 1_000), 1),
}
_TENANT_RULES: Mapping[str, Rule] = {
    "weight": Rule("a number from 0.001 to 1000", rules.number_between(0.001, 1000.0), 1.0),
    "budget_tokens": Rule("a whole number of at least 1", rules.integer_between(1, 10**12)),
}
_WEIGHT_RULES: Mapping[str, Rule] = {
    "latency": Rule("a number from 0 to 1000", rules.number_between(0.0, 1000.0), 1.0),
    "wasted_cache": Rule("a number from 0 to 1000", rules.number_between(0.0, 1000.0), 1.0),
}
_CLASS_RULE = Rule("a whole number from 0 to 99", rules.integer_between(0, 99))
_TENANT_RULE = Rule("a table of settings", rules.is_table)


def check(path: Path) -> Result[Service, tuple[Problem, ...]]:
    """Returns the service in a file, or every problem in it."""
    loaded = _load(path)
    if not isinstance(loaded, Success):
        return Err((loaded.failure(),))
    table = loaded.unwrap()
    problems = [
        *_check_table(_SERVICE_RULES, table),
        *_check_nested_tables(table),
        *_check_consistency(table),
    ]
    if problems:
        return Err(tuple(found._replace(file=str(path)) for found in problems))
    return Success(_build_service(table))


def collect(paths: Sequence[Path]) -> Result[ServiceSet, tuple[Problem, ...]]:
    """Returns the services in all files, or every problem in them.

    Args:
        paths: Service files, or folders in which every "*.toml" is a service file.
    """
    services: dict[str, Service] = {}
    sources: dict[str, Path] = {}
    problems: list[Problem] = []
    for path in _service_files(paths):
        checked = check(path)
        if not isinstance(checked, Success):
            problems.extend(checked.failure())
            continue
        service = checked.unwrap()
        if service.name in services:
            allowed = f"a name that {sources[service.name]} does not use"
            problems.append(Problem(str(path), "name", repr(service.name), allowed))
        services[service.name] = service
        sources[service.name] = path
    if not services and not problems:
        folders = ", ".join(map(str, paths))
        problems.append(Problem(folders, "", "no service file", "at least one *.toml"))
    return Err(tuple(problems)) if problems else Success(ServiceSet(services))


def _service_files(paths: Sequence[Path]) -> list[Path]:
    found: list[Path] = []
    for path in paths:
        found.extend(sorted(path.rglob("*.toml")) if path.is_dir() else [path])
    return found


def _load(path: Path) -> Result[dict[str, Any], Problem]:
    allowed = f"a readable TOML file in UTF-8 of up to {_MAX_FILE_BYTES} bytes"
    try:
        data = path.read_bytes()
        if len(data) > _MAX_FILE_BYTES:
            return Err(Problem(str(path), "", f"{len(data)} bytes", allowed))
        return Success(tomllib.loads(data.decode()))
    except OSError as exc:
        return Err(Problem(str(path), "", exc.strerror or str(exc), allowed))
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        return Err(Problem(str(path), "", str(exc), allowed))


def _check_nested_tables(table: Mapping[str, Any]) -> list[Problem]:
    problems = []
    for name, priority in _table_items(table, "classes"):
        problems.extend(_check_name(name, f"classes.{name}"))
        problems.extend(_check_value(_CLASS_RULE, priority, f"classes.{name}"))
    for name, settings in _table_items(table, "tenants"):
        if name != "*":
            problems.extend(_check_name(name, f"tenants.{name}"))
        table_problems = _check_value(_TENANT_RULE, settings, f"tenants.{name}")
        problems.extend(table_problems or _check_table(_TENANT_RULES, settings, f"tenants.{name}."))
    problems.extend(_check_table(_WEIGHT_RULES, dict(_table_items(table, "weights")), "weights."))
    problems.extend(_check_table(_ENGINE_RULES, dict(_table_items(table, "engine")), "engine."))
    return problems


def _check_consistency(table: Mapping[str, Any]) -> list[Problem]:
    problems = []
    classes = [name for name, _ in _table_items(table, "classes")]
    default = table.get("default_class")
    if rules.is_name(default) and classes and default not in classes:
        problems.append(Problem("", "default_class", repr(default), "one of " + _quoted(classes)))
    model = table.get("model", "")
    if table.get("kind") == _MODEL and model == "":
        problems.append(Problem("", "model", _NOT_SET, "a model name, as the kind is model"))
    if table.get("kind") == _PLAIN and model != "":
        problems.append(Problem("", "model", _short_repr(model), "nothing, as the kind is plain"))
    if table.get("kind") == _PLAIN and "engine" in table:
        problems.append(Problem("", "engine", "a table", "nothing, as the kind is plain"))
    return problems


def _check_table(
    key_rules: Mapping[str, Rule], table: Mapping[str, Any], prefix: str = ""
) -> list[Problem]:
    problems = []
    for key, rule in key_rules.items():
        if key in table:
            problems.extend(_check_value(rule, table[key], prefix + key))
        elif rule.default is REQUIRED:
            problems.append(Problem("", prefix + key, _NOT_SET, rule.allowed))
    for key in table:
        if key not in key_rules:
            problems.append(
                Problem("", prefix + key, "an unknown key", _allowed_keys(key, key_rules))
            )
    return problems


def _check_value(rule: Rule, value: Any, key: str) -> list[Problem]:
    return [] if rule.accepts(value) else [Problem("", key, _short_repr(value), rule.allowed)]


def _check_name(name: str, key: str) -> list[Problem]:
    return _check_value(_SERVICE_RULES["name"], name, key)


def _allowed_keys(key: str, key_rules: Mapping[str, Rule]) -> str:
    matches = difflib.get_close_matches(key, key_rules, n=2)
    hint = f" (did you mean {_quoted(matches)}?)" if matches else ""
    return "one of " + _quoted(list(key_rules)) + hint


def _quoted(names: Sequence[str]) -> str:
    return ", ".join(f'"{name}"' for name in names)


def _short_repr(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= _MAX_FOUND_CHARS else text[:_MAX_FOUND_CHARS] + "..."


def _table_items(table: Mapping[str, Any], key: str) -> list[tuple[str, Any]]:
    part = table.get(key, {})
    return list(part.items()) if isinstance(part, Mapping) else []


def _with_defaults(key_rules: Mapping[str, Rule], table: Mapping[str, Any]) -> dict[str, Any]:
    return {key: table.get(key, rule.default) for key, rule in key_rules.items()}


def _build_service(table: Mapping[str, Any]) -> Service:
    fields = _with_defaults(_SERVICE_RULES, table)
    tenants = {
        name: TenantSettings(**_with_defaults(_TENANT_RULES, settings))
        for name, settings in table["tenants"].items()
    }
    weights = CostWeights(**_with_defaults(_WEIGHT_RULES, fields["weights"]))
    engine = (
        EngineSettings(**_with_defaults(_ENGINE_RULES, table["engine"]))
        if "engine" in table
        else None
    )
    parts = {"tenants": tenants, "weights": weights, "engine": engine}
    service = Service(**{**fields, **parts, "at_most_once": frozenset(fields["at_most_once"])})
    # Converts TOML integers to floats where the bundle has floats, so that digests agree.
    return msgspec.convert(msgspec.to_builtins(service), Service)
