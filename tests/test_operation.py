"""What the operators' pages promise, at a running deployment."""

import json
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest
import urllib3
from endiveworks.client.caller import Program, connect, open_program
from endiveworks_standins.demo import EAST, SERVICES, WEST
from endiveworks_standins.fleet import Fleet, wait_until
from returns.result import Success

_TENANT = "signs"
_EXAMPLE = Path(__file__).parents[1] / "examples" / "caller" / "quote.py"
_MESSAGE = {"role": "user", "content": "hello"}


class Deployment(NamedTuple):
    """A running deployment and the addresses of its entries."""

    fleet: Fleet
    entries: tuple[str, ...]

    def open(self, entry: int = 0) -> Program:
        deployment = connect([self.entries[entry]], _TENANT)
        return open_program(deployment, "assistant", "front").unwrap()

    def admin(self, name: str) -> str:
        return str(self.fleet.procs[name].wait_event("listening")["admin"])

    def ctl(self, *args: str) -> "subprocess.CompletedProcess[str]":
        command = [sys.executable, "-m", "endiveworks_ctl.main", *args, "--format=json"]
        kv = f"--kv={self.fleet.kv_address}"
        return subprocess.run([*command, kv], capture_output=True, text=True, check=False)


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    with Fleet(tmp_path) as fleet:
        fleet.start_kv()
        fleet.publish(SERVICES)
        engine = fleet.start_engine("engine", "--step_s=0.03", "--answer_tokens=2000")
        fleet.start_upstream("up-engine", EAST, "assistant", engine)
        fleet.start_upstream("up-shop", EAST, "shop", fleet.start_plain("shop"))
        entries = (fleet.start_entry("entry-1", EAST), fleet.start_entry("entry-2", WEST))
        found = Deployment(fleet, entries)
        for address in entries:
            client = connect([address], _TENANT)
            wait_until(lambda client=client: _opens(client))
        yield found


def _opens(client: object) -> bool:
    return isinstance(open_program(client, "assistant", "front"), Success)


class TestExample:
    def test_runs_to_its_end(self, deployment: Deployment) -> None:
        command = [sys.executable, str(_EXAMPLE), *deployment.entries]
        ran = subprocess.run(command, capture_output=True, text=True, check=False)
        assert (ran.returncode, ran.stderr) == (0, "")
        orders = [
            line for line in deployment.fleet.executed("shop") if line["operation"] == "order"
        ]
        assert len(orders) == 1


class TestOperatorsCommand:
    def test_status_shows_every_process(self, deployment: Deployment) -> None:
        ran = deployment.ctl("status")
        assert (ran.returncode, ran.stderr) == (0, "")
        hosts = [row["host"] for row in json.loads(ran.stdout)]
        assert hosts == ["entry-1", "entry-2", "up-engine", "up-shop"]

    def test_programs_and_histograms(self, deployment: Deployment) -> None:
        program = deployment.open()
        program.chat("assistant", [_MESSAGE], 8).unwrap()
        listed = json.loads(deployment.ctl("programs").stdout)
        assert program.id in [row["program"] for row in listed]
        program.close().unwrap()
        bodies = json.loads(deployment.ctl("status", "--histograms").stdout)
        rows = {
            (row["name"], row["group"], row["label"])
            for body in bodies
            for row in body["histograms"]
        }
        for name in ("program_ms", "first_token_ms", "queue_wait_ms", "wasted_cache_tokens"):
            assert {(name, "tenant", _TENANT), (name, "class", "front")} <= rows

    def test_second_publication_of_equal_files_changes_nothing(
        self, deployment: Deployment
    ) -> None:
        ran = deployment.ctl("publish", str(SERVICES))
        assert (ran.returncode, json.loads(ran.stdout)["changed"]) == (0, False)

    def test_publication_from_an_older_version_is_refused(
        self, deployment: Deployment, tmp_path: Path
    ) -> None:
        text = (SERVICES / "shop.toml").read_text().replace("slots = 8", "slots = 9")
        (tmp_path / "shop.toml").write_text(text)
        ran = deployment.ctl("publish", str(tmp_path / "shop.toml"), "--expect=0")
        assert ran.returncode == 2
        assert json.loads(ran.stderr)[0]["code"] == "conflict"


class TestKeyValueOutage:
    def test_calls_and_status_go_on(self, deployment: Deployment) -> None:
        program = deployment.open(1)
        program.chat("assistant", [_MESSAGE], 8).unwrap()
        deployment.fleet.procs["kv"].kill()
        assert program.chat("assistant", [_MESSAGE], 8).unwrap().text
        assert program.call("shop", "order", {"item": "board"}).unwrap().status == 200
        opened = deployment.open(0)
        assert opened.chat("assistant", [_MESSAGE], 8).unwrap().text
        program.close().unwrap()
        assert deployment.ctl("status").returncode == 3
        named = deployment.ctl("status", f"--admins={deployment.admin('entry-1')}")
        assert (named.returncode, json.loads(named.stdout)[0]["host"]) == (0, "entry-1")


def _refusal(entry: str) -> tuple[str, str | None]:
    headers = {"Endive-Tenant": _TENANT}
    answer = urllib3.request("POST", f"http://{entry}/v1/programs", headers=headers)
    return answer.json()["code"], answer.headers.get("Connection")


class TestStop:
    def test_entry_ends_its_streams_first(self, deployment: Deployment) -> None:
        program = deployment.open(1)
        begun = threading.Event()
        answers: list[object] = []

        def call() -> None:
            outcome = program.chat(
                "assistant", [_MESSAGE], 64, on_text=lambda offset, text: begun.set()
            )
            answers.append(outcome)

        caller = threading.Thread(target=call)
        caller.start()
        assert begun.wait(30)
        proc = deployment.fleet.procs["entry-2"]
        admin = deployment.admin("entry-2")
        proc.popen.terminate()
        proc.wait_event("stopping")
        wait_until(lambda: urllib3.request("GET", f"http://{admin}/healthz").status == 503)
        wait_until(lambda: _refusal(deployment.entries[1]) == ("draining", "close"))
        caller.join()
        assert isinstance(answers[0], Success)
        assert proc.popen.wait(30) == 0
