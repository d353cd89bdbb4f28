"""Compares every effect of publisher and followers in one session with a golden file.

Refresh it with ``CHICORYPOST_REFRESH_GOLDEN=1 scripts/test <this file>``.
"""

import os
from pathlib import Path

from chicorypost.configuration.tests._cluster import Cluster

GOLDEN = Path(__file__).parent / "golden_session.txt"
REFRESH = "CHICORYPOST_REFRESH_GOLDEN"
ADDRESS = "10.0.0.1:80/tcp"


class RecordedCluster(Cluster):
    """A cluster that records every effect."""

    def __init__(self, **kwargs):
        self.lines: list[str] = []
        super().__init__(**kwargs)

    def _execute_effect(self, name, effect):
        self.lines.append(f"{self.now:.1f} {name}: {effect!r}")
        super()._execute_effect(name, effect)


def record_session():
    """Start, accept a patch, move an address while a data centre is isolated, and reconnect."""
    cluster = RecordedCluster(seed=3, controls=2, data_centres={"gent": 2, "aalst": 1})
    cluster.run(0.6)
    cluster.submit_assignments(0, {"archive": [ADDRESS], "ordering": []}, 1)
    cluster.run(0.4)
    cluster.isolated = {"aalst"}
    cluster.submit_assignments(1, {"archive": [], "ordering": [ADDRESS]}, 2)
    cluster.run(0.4)
    cluster.isolated = set()
    cluster.run(2.2)
    assert cluster.balancers["aalst-0"].routes == {ADDRESS: "ordering"}
    return "\n".join(cluster.lines) + "\n"


def test_a_whole_session_equals_its_golden_file():
    recorded = record_session()
    if os.environ.get(REFRESH):
        GOLDEN.write_text(recorded, encoding="utf-8")
    assert recorded == GOLDEN.read_text(encoding="utf-8")
