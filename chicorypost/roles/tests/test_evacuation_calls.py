"""Orders to start or end an evacuation: lost answers, late commands, outdated instances."""

import json
from typing import Any

import pytest
import trio
import trio.testing

from chicorypost.announcements import EvacuationsChanged, VersionApplied
from chicorypost.base import DataCentreId, LogIndex, Term, Version, pack_record
from chicorypost.consensus import Apply, RestoreSnapshot, SnapshotTaken, TakeSnapshot
from chicorypost.evacuation import EvacuationState
from chicorypost.platform import NodeSettings, read_node_settings
from chicorypost.platform.tests.test_readers import CONFIGURATION, SETTINGS
from chicorypost.roles._control import ControlRole
from chicorypost.roles._evacuation_calls import CLOSE_WAIT_SECONDS
from chicorypost.roles._event_log import EventLog
from chicorypost.roles.tests.test_control_calls import LEADER, Instance
from chicorypost.routing import StoredConfiguration
from chicorypost.transport import HttpServer, HttpSettings

START, END = "/-/Evacuation.Start/", "/-/Evacuation.End/"


class EvacuatingInstance(Instance):
    """An instance whose log may also commit commands late, or others before its own."""

    def __init__(self) -> None:
        super().__init__()
        self.late_commands: list[bytes] = []
        self.commits_before: list[bytes] = []

    def answer_proposal(self, proposal, command):
        if self.log_answers == "late":
            self.late_commands.append(command)
            return
        if self.log_answers == "accepts":
            for other in self.commits_before:
                self.evacuation_state.apply(other)
            self.commits_before.clear()
            applied: Any = self.evacuation_state.apply(command)
            self.outcomes.deliver_outcome(applied.order_id, applied)
        super().answer_proposal(proposal, command)

    def order(self, target):
        return self.call("POST", target).status

    def evacuated(self):
        return list(self.evacuation_state.evacuations.data_centres)

    def propose(self, name, is_evacuated):
        return pack_record(self.evacuation_state.make_command("other", name, is_evacuated))


@pytest.fixture
def instance():
    return EvacuatingInstance()


def test_an_order_whose_answer_was_lost_is_acknowledged_when_it_is_sent_again(instance):
    assert instance.order(START + "north%202") == 200
    assert instance.order(START + "north%202") == 200
    assert instance.proposals == 2, "the applied state alone acknowledged an order"
    assert instance.evacuated() == ["north 2"]
    assert instance.order(END + "north%202") == 200
    assert instance.evacuated() == []


def test_a_late_command_of_a_call_that_timed_out_changes_nothing(instance):
    """The order to start is given up, the end is acknowledged, and then the start commits."""
    instance.log_answers = "late"
    assert instance.order(START + "a") in (307, 503)
    instance.log_answers = "accepts"
    assert instance.order(END + "a") == 200
    (late_start,) = instance.late_commands
    instance.evacuation_state.apply(late_start)
    assert instance.evacuated() == []


def test_an_order_that_was_overtaken_is_proposed_again_with_the_newer_revision(instance):
    """The leader may not have applied an earlier order yet when it proposes the next one."""
    instance.commits_before = [instance.propose("a", True)]
    assert instance.order(END + "a") == 200
    assert (instance.proposals, instance.evacuated()) == (2, [])


def test_an_instance_without_a_quorum_acknowledges_nothing(instance):
    assert instance.order(START + "a") == 200
    instance.log_answers = "refuses"
    assert instance.order(START + "a") in (307, 503)
    assert instance.order(END + "a") in (307, 503)
    assert instance.call("GET", "/-/Evacuation.Get").status in (307, 503)
    assert instance.evacuated() == ["a"]


def test_an_instance_that_does_not_lead_redirects_the_order_with_its_name(instance):
    instance.log_answers = "refuses"
    response = instance.call("POST", START + "north%202")
    location = f"http://{LEADER}{START}north%202"
    assert (response.status, response.headers) == (307, (("location", location),))


@pytest.mark.parametrize(
    "name", ["", "a/b", "a%2Fb", "%", "%4", "%zz", "%ff", "x" * 256, "\xe9", "%C3%A9" * 256]
)
@pytest.mark.parametrize("call", [START, END])
def test_a_name_of_no_data_centre_is_refused_with_the_reason(instance, call, name):
    response = instance.call("POST", call + name)
    assert response.status == 400
    assert "name of the zone" in json.loads(response.body)["error"]
    assert instance.proposals == 0


def test_only_data_centres_of_the_settings_are_evacuated_and_any_evacuation_can_be_ended(instance):
    assert instance.order(START + "former") == 200
    instance.evacuation_calls.data_centres = frozenset({"a", "b"})
    assert instance.order(START + "other") == 400
    assert instance.order(START + "a") == 200
    assert instance.order(START + "b") == 200
    assert instance.evacuated() == ["a", "b", "former"]
    assert instance.order(END + "former") == 200
    assert instance.order(START + "former") == 400


def test_the_evacuated_data_centres_are_read_with_a_quorum(instance):
    instance.order(START + "%C3%A9")
    response = instance.call("GET", "/-/Evacuation.Get")
    assert json.loads(response.body) == {"revision": 1, "evacuated": ["é"]}


@pytest.mark.parametrize("closes_after", [0.0, CLOSE_WAIT_SECONDS / 2, None])
def test_a_request_whose_caller_has_given_up_is_not_carried_out(instance, closes_after):
    """A cut held the request up; it arrived with the close of its connection after later orders."""
    server = HttpServer("control", HttpSettings(), instance.handler.handle, print)

    async def scenario():
        client, stream = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve_connection, stream)
            await client.send_all(f"POST {START}a HTTP/1.1\r\nhost: c\r\n\r\n".encode())
            if closes_after is not None:
                await trio.sleep(closes_after)
                await client.aclose()
                return
            assert b" 200 " in await client.receive_some(4096)
            await client.aclose()

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0.0))
    assert instance.evacuated() == (["a"] if closes_after is None else [])


def run_role(monkeypatch, tmp_path, *effects):
    """Let a control role carry out effects of its log; return it and the events that it posts."""
    settings = read_node_settings(
        json.dumps(
            SETTINGS | {"data_dir": str(tmp_path), "listen": {"control": "127.0.0.1:80"}}
        ).encode()
    )
    assert isinstance(settings, NodeSettings)
    posted: list[Any] = []

    async def scenario():
        role = ControlRole(settings, EventLog())
        monkeypatch.setattr(role.engine, "post", posted.append)
        for effect in effects:
            role._execute(effect)
        return role

    return trio.run(scenario), posted


CONFIGURATION_COMMAND = pack_record(
    StoredConfiguration(Version(CONFIGURATION["version"]), json.dumps(CONFIGURATION).encode())
)


def order_command():
    return pack_record(EvacuationState().make_command("order", DataCentreId("a"), True))


def apply(index, command):
    return Apply(LogIndex(index), Term(1), command)


def test_a_log_and_a_snapshot_of_an_earlier_build_are_readable(monkeypatch, tmp_path):
    snapshot = RestoreSnapshot(LogIndex(1), CONFIGURATION_COMMAND)
    for effect in (snapshot, apply(1, CONFIGURATION_COMMAND)):
        role, posted = run_role(monkeypatch, tmp_path, effect, TakeSnapshot(LogIndex(1)))
        assert role.routing_state.version == CONFIGURATION["version"]
        assert [type(event) for event in posted] == [VersionApplied, SnapshotTaken]
        assert posted[1].data == CONFIGURATION_COMMAND


def test_a_snapshot_holds_the_configuration_and_the_evacuations(monkeypatch, tmp_path):
    """It is taken when an order is applied, since the log shows the order as committed later."""
    _, posted = run_role(
        monkeypatch, tmp_path, apply(1, CONFIGURATION_COMMAND), apply(2, order_command())
    )
    taken = posted[-1]
    assert (type(taken), taken.index) == (SnapshotTaken, 2)
    role, posted = run_role(monkeypatch, tmp_path, RestoreSnapshot(LogIndex(2), taken.data))
    assert role.dump()["evacuations"] == {"revision": 1, "data_centres": ["a"]}
    # A balancer that gets the configuration serves at once, so it must know the evacuations.
    assert [type(event) for event in posted] == [EvacuationsChanged, VersionApplied]


@pytest.mark.parametrize("odd", [order_command()[:-1], order_command()[:12] + b"\x91" * 3000])
def test_an_order_that_this_build_cannot_read_does_not_end_the_process(monkeypatch, tmp_path, odd):
    role, _ = run_role(
        monkeypatch,
        tmp_path,
        apply(1, CONFIGURATION_COMMAND),
        apply(2, odd),
        apply(3, order_command()),
    )
    assert role.event_log.counts_by_name()["evacuations-unreadable"] == 1
    assert role.dump()["evacuations"]["data_centres"] == ["a"]
    odd_snapshot = CONFIGURATION_COMMAND.replace(b"\x92", b"\x93", 1) + b"\x07"
    role, _ = run_role(monkeypatch, tmp_path, RestoreSnapshot(LogIndex(2), odd_snapshot))
    assert role.event_log.counts_by_name()["evacuations-unreadable"] == 1
    assert role.routing_state.version == CONFIGURATION["version"]
