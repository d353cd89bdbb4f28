"""Plays the case: an operator sends a configuration that can't be read in full."""

import json
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from deployment_2 import (  # noqa: E402
    BOUNDS,
    CannotRunError,
    Deployment,
    Operator,
    Record,
    make_configuration,
)

IDLE_ROUTES = 8
ADDED_ROUTES = 350
"""The most that `big_config` adds on the site."""
START_SECONDS = 30.0
UNREADABLE_SECONDS = 12.0
"""How long the operator sends the unreadable configuration if no clear answer comes."""
LARGE_BODY_SECONDS = 2.0
"""How long the operator waits for one answer to a large body."""


def play(record: Record, deployment: Deployment, is_disturbed: bool) -> int:
    """Play the case; return 1 if the rule was broken, else 0."""
    for host in deployment.controls:
        deployment.start(host)
    operator = Operator(deployment)
    acknowledged = make_configuration(7, IDLE_ROUTES + ADDED_ROUTES, "atelier")
    body = json.dumps(acknowledged).encode()
    status = operator.order(
        "/-/Config.Put", body, f"configuration 7, {len(body)} bytes,", START_SECONDS
    )
    if status != 200:
        raise CannotRunError("the first configuration is not acknowledged")
    time.sleep(BOUNDS["stable_window_ms"] / 1000)
    if is_disturbed:
        # The quotes were escaped, as for a shell, so the text isn't JSON any more.
        unreadable = json.dumps(acknowledged | {"version": 9}).replace('"', '\\"').encode()
        what = f"unreadable configuration, {len(unreadable)} bytes,"
        operator.order("/-/Config.Put", unreadable, what, UNREADABLE_SECONDS, LARGE_BODY_SECONDS)
    record.write("the operator reads the configuration back")
    reads_until = time.monotonic() + BOUNDS["stable_window_ms"] / 1000
    answers = []
    while time.monotonic() < reads_until:
        answers.append(operator.read())
        time.sleep(0.1)
    came = [json.loads(answer) for read_status, answer in answers if read_status == 200]
    if any(answer != acknowledged for answer in came):
        record.write("BROKEN: a read shows another configuration than the acknowledged one")
        return 1
    if not came:
        record.write(f"BROKEN: none of {len(answers)} reads brings the acknowledged configuration")
        return 1
    record.write(f"held: {len(came)} of {len(answers)} reads bring the acknowledged configuration")
    return 0


def main() -> int:
    """Run the case and return its exit status."""
    record = Record(FOLDER / "record.txt")
    deployment = None
    try:
        deployment = Deployment(record, balancers=0)
        return play(record, deployment, os.environ.get("TROUBLE") != "0")
    except CannotRunError as error:
        record.write(f"can't run: {error}")
        return 2
    finally:
        if deployment is not None:
            deployment.stop()


if __name__ == "__main__":
    sys.exit(main())
