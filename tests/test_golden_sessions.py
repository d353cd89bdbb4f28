"""Golden files of whole sessions: every effect, byte for byte.

Refresh them with ``CHICORYPOST_REFRESH_GOLDEN=1 scripts/test tests/test_golden_sessions.py``.
"""

import os
from pathlib import Path

import pytest

from chicorypost.flows.tests import fakes
from chicorypost.requests.tests import _simulation

GOLDEN = Path(__file__).parent / "golden"
REFRESH = "CHICORYPOST_REFRESH_GOLDEN"


class RecordingSimulation(_simulation.Simulation):
    """Request machines that write down what each is told and what callers hear."""

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
    """Flow routers that write down every effect and the path of every packet."""

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
    """An order runs, its owner dies before the answer, the resend gets the one answer."""
    world = RecordingSimulation("abcde")
    key, roles = world.find_key_with_roles()
    world.lines.clear()
    first = world.call(roles["entry"], key)
    for _ in range(6):
        world.step()
    world.crash_instance(roles["owner"])
    world.sleep(4.0)
    second = world.call(roles["entry"], key)
    world.sleep(12.0)
    assert (first.outcome, second.outcome) == ("done", "done")
    assert world.runs[key] == 1
    return world.lines


def record_flows_with_balancer_replaced():
    """A preview runs while its upstream drains and a balancer is replaced."""
    routers = RecordingCluster(["a", "b", "c"], [fakes.upstream("u1"), fakes.upstream("u2")])
    routers.lines.clear()
    for port in (1, 2):
        routers.send_packet("a", port, opens=True)
    routers.change_upstreams(fakes.upstream("u1", state=fakes.UpstreamState.DRAINING))
    routers.settle()
    routers.start_router("d")
    routers.set_views(["b", "c", "d"])
    routers.settle()
    for name in "bcd":
        for port in (1, 2):
            routers.send_packet(name, port)
    routers.settle()
    ends = {(port, to) for _, port, _, to in routers.outcomes}
    assert len(ends) == 2, ends
    return routers.lines


SESSIONS = {
    "order-resent-through-a-death": record_order_resent_after_owner_crash,
    "fitting-with-a-balancer-replaced": record_flows_with_balancer_replaced,
}


@pytest.mark.parametrize("name", SESSIONS)
def test_a_session_equals_its_golden_file(name):
    played = "\n".join(SESSIONS[name]()) + "\n"
    file = GOLDEN / f"{name}.txt"
    if os.environ.get(REFRESH):
        file.write_text(played, encoding="utf-8")
    assert played == file.read_text(encoding="utf-8")
