"""Shared observations in the processes of both roles."""

import json
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
import trio

from chicorypost.announcements import FeedPage, PeerConnected, Subscribe, UpstreamCallReceived
from chicorypost.announcements.tests.test_table import ORDERS, announce
from chicorypost.base import DataCentreId, Endpoint, InstanceId, UpstreamId
from chicorypost.cookies import BalancingSettings
from chicorypost.daemons import EventDispatcher
from chicorypost.observations import Observation, ObservedState, ReportObservations
from chicorypost.platform import NodeSettings
from chicorypost.roles._balancer_core import BalancerCore
from chicorypost.roles._control import ControlRole
from chicorypost.roles._event_log import EventLog
from chicorypost.roles.tests.test_startup_balancer import StartupScenario


def make_core(is_shared):
    scenario = StartupScenario()
    settings = scenario.balancer.core.settings
    scenario.close()
    scenario.balancer.core.packet_socket.close()
    balancing = BalancingSettings(shared_observations=is_shared)
    return BalancerCore(msgspec.structs.replace(settings, balancing=balancing), EventLog())


@pytest.mark.parametrize("is_shared", [False, True])
def test_a_balancer_observes_only_with_the_setting(is_shared):
    """Failure: another deployment sends a message that its control instances don't know."""
    core = make_core(is_shared)
    dispatcher = EventDispatcher(lambda *_: None, lambda _: None, lambda _: None, lambda: 1.0)
    core.register_state_machines(dispatcher)
    dispatcher.post(PeerConnected(InstanceId("10.9.0.1:80")))
    assert ("observations" in dispatcher.dump()) == is_shared
    assert ("judged_slow" in dispatcher.dump()["flows"]) == is_shared
    json.dumps(dispatcher.dump())
    core.packet_socket.close()


def make_control(folder):
    settings = NodeSettings(
        name="control-1",
        host="127.0.0.1",
        data_centre=DataCentreId("a"),
        packets=None,
        readiness=None,
        control=Endpoint("127.0.0.1", 80),
        peer_port=1,
        seeds=(),
        founds=False,
        data_folder=str(folder),
        announcement_seconds=1.0,
        lost_disks=1,
        stop_seconds=6.0,
    )
    role = ControlRole(settings, EventLog())
    sent: list[Any] = []
    role.network = SimpleNamespace(  # type: ignore[assignment]
        is_connected=lambda _: True, send=lambda to, message: sent.append((to, message))
    )
    return role, sent


def test_reports_at_a_control_instance_reach_its_subscribers_as_a_judgement(tmp_path):
    async def play():
        role, sent = make_control(tmp_path)
        balancers = [InstanceId(f"10.0.0.{number}") for number in (1, 2)]
        for number in range(4):
            name = ORDERS if number == 0 else UpstreamId(f"i-{number}")
            call = announce(name, host=f"10.0.1.{number + 1}")
            role.engine.post(UpstreamCallReceived("call", call))
        role.engine.receive(balancers[0], Subscribe(0, 0, True))
        report = ReportObservations(1, 1, (Observation(ORDERS, 1000, ObservedState.UNRESPONSIVE),))
        for balancer in balancers:
            role.engine.receive(balancer, report)
        await trio.sleep(0.15)
        role.engine.tick()
        assert role.judge.counters == {"accepted": 2}
        assert b"judged_unresponsive_upstreams 1.0" in role.metrics().exposition()[0]
        json.dumps(role.dump())
        return [message for to, message in sent if to == balancers[0]]

    pages = trio.run(play)
    assert all(isinstance(page, FeedPage) for page in pages)
    judged = [item for page in pages for item in page.listed if item.judgement is not None]
    assert [item.announcement.upstream for item in judged] == [ORDERS]
