"""endivectl publish: puts the services of a folder in force."""

import secrets
import time
from collections.abc import Sequence

from endiveworks.config import publish as publication
from endiveworks.config.differences import differences
from endiveworks.config.publish import PublishRefusal, PublishRequest, PublishResult, read_bundle
from returns.result import Success

from .check import collect_files, show_problems
from .deployment import open_kv
from .exits import Exit, exit_for
from .output import Column, Invocation, Terminal, show_failures, show_json, show_rows
from .wait import wait_for

_RETRY_DELAYS_S = (0.2, 0.5, 1.0, 2.0)
_COLUMNS = (
    Column("service", "SERVICE"),
    Column("key", "KEY"),
    Column("in_force", "IN FORCE"),
    Column("wanted", "WANTED"),
)


def publish(invocation: Invocation) -> int:
    """Publishes all services of a folder as one bundle, unless another one came first."""
    collected = collect_files(invocation.args)
    if not isinstance(collected, Success):
        show_problems(invocation.terminal, collected.failure())
        return Exit.REFUSED
    kv = open_kv(invocation.values)
    found = read_bundle(kv)
    if not isinstance(found, Success):
        show_failures(invocation.terminal, [found.failure()])
        return exit_for(found.failure())
    before = found.unwrap()
    expected = invocation.values.integer("expect")
    req = PublishRequest(
        services=collected.unwrap().services,
        publisher=invocation.values.text("publisher"),
        expected_version=before.version if expected < 0 else expected,
        publication=secrets.token_hex(16),
        now_s=time.time(),
    )
    outcome = publication.publish(kv, req, _RETRY_DELAYS_S, time.sleep)
    if not isinstance(outcome, Success):
        return _show_refused(invocation.terminal, outcome.failure())
    changes = differences(before.services, req.services)
    rows = [change._asdict() for change in changes]
    published = outcome.unwrap()
    wait_s = invocation.values.number("wait_s")
    behind = wait_for(invocation.values, published.bundle.version, wait_s) if wait_s else ()
    _show_published(invocation.terminal, published, rows, behind)
    return Exit.PARTIAL if behind else Exit.OK


def _show_published(
    terminal: Terminal, published: PublishResult, rows: list[dict[str, str]], behind: Sequence[str]
) -> None:
    bundle = published.bundle
    if terminal.as_json:
        body = {"version": bundle.version, "changed": published.changed, "differences": rows}
        show_json(terminal, {**body, "behind": behind})
        return
    state = "published" if published.changed else "already in force"
    print(f"version {bundle.version} by {bundle.publisher}: {state}", file=terminal.out)
    if rows:
        show_rows(terminal, rows, _COLUMNS)
    if behind:
        print(f"not yet in force on: {', '.join(behind)}", file=terminal.err)


def _show_refused(terminal: Terminal, refused: PublishRefusal) -> int:
    show_failures(terminal, [refused.failure])
    if refused.differences and not terminal.as_json:
        rows = [change._asdict() for change in refused.differences]
        show_rows(terminal._replace(out=terminal.err), rows, _COLUMNS)
    return exit_for(refused.failure)
