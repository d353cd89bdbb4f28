"""Compare recorded sessions with golden files, byte for byte.

Regenerate the golden files with
``CHICORYPOST_REFRESH_GOLDEN=1 scripts/test tests/test_golden_sessions.py``.
"""

import os
from pathlib import Path

import pytest

from chicorypost.flows.tests import fakes
from chicorypost.requests.tests import _simulation

GOLDEN_FOLDER = Path(__file__).parent / "golden"
REFRESH_VARIABLE = "CHICORYPOST_REFRESH_GOLDEN"


class RecordingSimulation(_simulation.Simulation):
    """Request simulation that records delivered events and the responses to callers."""

    def __init__(self, *args, **kwargs):
        self.lines: list[str] = []
        super().__init__(*args, **kwargs)

    def deliver_event(self, name, event):
        self.lines.append(f"{self.now:.2f} {name} is told {event!r}")
        super().deliver_event(name, event)

    def record_response(self, ticket, response):
        self.lines.append(f"{self.now:.2f} caller {ticket} hears {response!r}")
        super().record_response(ticket, response)


class RecordingCluster(fakes.Cluster):
    """Cluster of flow routers that records every effect and every routing decision."""

    def __init__(self, *args, **kwargs):
        self.lines: list[str] = []
        super().__init__(*args, **kwargs)

    def apply_effects(self, name, effects):
        effects = list(effects)
        self.lines += [f"{self.now:.2f} {name}: {effect!r}" for effect in effects]
        super().apply_effects(name, effects)

    def apply_decision(self, name, given, decision, hops=0):
        self.lines.append(f"{self.now:.2f} {name} packet {given.flow.hex()}: {decision!r}")
        super().apply_decision(name, given, decision, hops)


def record_order_resent_after_owner_crash():
    """Record an order whose owner crashes before the response.

    The retry receives the response of the first attempt, and the order runs once.
    """
    simulation = RecordingSimulation("abcde")
    key, roles = simulation.find_key_with_roles()
    simulation.lines.clear()
    first = simulation.call(roles["entry"], key)
    for _ in range(6):
        simulation.step()
    simulation.crash_instance(roles["owner"])
    simulation.sleep(4.0)
    second = simulation.call(roles["entry"], key)
    simulation.sleep(12.0)
    assert (first.outcome, second.outcome) == ("done", "done")
    assert simulation.runs[key] == 1
    return simulation.lines


def record_flows_with_balancer_replaced():
    """Record two flows while their upstream drains and a balancer is replaced.

    The packets of each flow reach one upstream at every balancer.
    """
    cluster = RecordingCluster(["a", "b", "c"], [fakes.upstream("u1"), fakes.upstream("u2")])
    cluster.lines.clear()
    for port in (1, 2):
        cluster.send_packet("a", port, opens=True)
    cluster.change_upstreams(fakes.upstream("u1", state=fakes.UpstreamState.DRAINING))
    cluster.settle()
    cluster.start_router("d")
    cluster.set_views(["b", "c", "d"])
    cluster.settle()
    for name in "bcd":
        for port in (1, 2):
            cluster.send_packet(name, port)
    cluster.settle()
    port_upstreams = {(port, to) for _, port, _, to in cluster.outcomes}
    assert len(port_upstreams) == 2, port_upstreams
    return cluster.lines


SESSION_RECORDERS = {
    "order-resent-through-a-death": record_order_resent_after_owner_crash,
    "fitting-with-a-balancer-replaced": record_flows_with_balancer_replaced,
}


@pytest.mark.parametrize("name", SESSION_RECORDERS)
def test_a_session_equals_its_golden_file(name):
    recorded = "\n".join(SESSION_RECORDERS[name]()) + "\n"
    file = GOLDEN_FOLDER / f"{name}.txt"
    if os.environ.get(REFRESH_VARIABLE):
        file.write_text(recorded, encoding="utf-8")
    assert recorded == file.read_text(encoding="utf-8")
