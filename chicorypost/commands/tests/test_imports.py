"""An operator's command loads no part that only a daemon runs, since the operator waits for it."""

import json
import subprocess
import sys

PARTS_OF_DAEMONS = {
    "chicorypost.consensus",
    "chicorypost.daemons",
    "chicorypost.flows",
    "chicorypost.requests",
    "jsonpatch",
    "prometheus_client",
    "pydantic",
    "trustme",
}


def test_operators_commands_import_no_part_of_the_daemons():
    """Pattern: on a busy machine the imports took most of the time of `config patch --wait`."""
    script = "import sys, json, chicorypost.commands; print(json.dumps(sorted(sys.modules)))"
    run = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, check=True, timeout=60
    )
    assert sorted(PARTS_OF_DAEMONS.intersection(json.loads(run.stdout))) == []
