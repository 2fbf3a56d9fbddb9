from typing import Any

from endiveworks_standins.fleet import wait_until
from pytest_bdd import scenarios, then, when

scenarios("stops.feature")


@when("the process beside the shop is told to stop")
def _told_to_stop(deployment: Any) -> None:
    deployment.procs["up-shop"].popen.terminate()


@then("the process beside the shop has stopped with nothing cut off")
def _stopped(deployment: Any) -> None:
    proc = deployment.procs["up-shop"].popen
    wait_until(lambda: proc.poll() is not None)
    assert proc.returncode == 0
