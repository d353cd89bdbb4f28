"""A golden file of one whole session: every effect of publisher and followers, byte for byte.

Refresh it with ``CHICORYPOST_REFRESH_GOLDEN=1 scripts/test <this file>``.
"""

import os
from pathlib import Path

from chicorypost.configuration.tests._cluster import Cluster

GOLDEN = Path(__file__).parent / "golden_session.txt"
REFRESH = "CHICORYPOST_REFRESH_GOLDEN"
ADDRESS = "10.0.0.1:80/tcp"


class RecordedCluster(Cluster):
    """A cluster that writes down every effect."""

    def __init__(self, **kwargs):
        self.lines: list[str] = []
        super().__init__(**kwargs)

    def _execute_effect(self, name, effect):
        self.lines.append(f"{self.now:.1f} {name}: {effect!r}")
        super()._execute_effect(name, effect)


def play():
    """Start, accept a patch, move an address while a data centre is cut off, and heal."""
    cluster = RecordedCluster(seed=3, controls=2, sites={"gent": 2, "aalst": 1})
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
    played = play()
    if os.environ.get(REFRESH):
        GOLDEN.write_text(played, encoding="utf-8")
    assert played == GOLDEN.read_text(encoding="utf-8")
