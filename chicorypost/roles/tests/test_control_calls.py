"""Calls of operators and upstreams whose answer was lost and that are therefore sent again."""

import json
from types import SimpleNamespace
from typing import Any

import pytest
import trio
import trio.testing

from chicorypost.announcements import (
    AnnouncementRegistry,
    AnnouncementSettings,
    TableChanged,
    TableSaved,
    UpstreamCallCompleted,
    UpstreamCallReceived,
)
from chicorypost.base import InstanceId, Instant, LogIndex, UpstreamId
from chicorypost.consensus import (
    ProposalAccepted,
    ProposalRefusalReason,
    ProposalRefused,
    Propose,
    Read,
    ReadReady,
    ReadRefused,
)
from chicorypost.evacuation import EvacuationState
from chicorypost.platform import read_configuration
from chicorypost.platform.tests.test_readers import ANNOUNCEMENT, CONFIGURATION
from chicorypost.roles._control_calls import LOG_TIMEOUT_SECONDS, ControlCallHandler
from chicorypost.roles._evacuation_calls import EvacuationCallHandler
from chicorypost.roles._pending_outcomes import PendingOutcomes
from chicorypost.routing import RoutingState
from chicorypost.transport import HttpServerRequest, HttpServerResponse

LEADER = InstanceId("10.0.0.2:80")


class Instance:
    """A control instance whose log accepts, refuses or doesn't answer, as the test says."""

    def __init__(self) -> None:
        self.log_answers = "accepts"
        self.saves_table = False
        self.proposals = 0
        self.routing_state = RoutingState(read_configuration)
        self.registry = AnnouncementRegistry(AnnouncementSettings(), 1, Instant(0.0))
        self.outcomes = PendingOutcomes(self)  # type: ignore[arg-type]
        replica = SimpleNamespace(leader=LEADER)
        event_log: Any = SimpleNamespace(emit=lambda event: None)
        self.evacuation_state = EvacuationState()
        self.evacuation_calls = EvacuationCallHandler(
            self.evacuation_state, self.outcomes, event_log, frozenset(), LOG_TIMEOUT_SECONDS
        )
        self.handler = ControlCallHandler(
            InstanceId("10.0.0.1:80"),
            SimpleNamespace(replica=replica),  # type: ignore[arg-type]
            self.routing_state,
            self.outcomes,
            event_log,
            self.evacuation_calls,
        )

    def post(self, event):
        match event:
            case Propose(proposal, command):
                self.proposals += 1
                self.answer_proposal(proposal, command)
            case Read(read):
                is_current = self.log_answers == "accepts"
                reason = ProposalRefusalReason.OUT_OF_TOUCH
                answer: ReadReady | ReadRefused = ReadRefused(read, reason, None)
                if is_current:
                    answer = ReadReady(read, LogIndex(1))
                self.outcomes.deliver_outcome(read, answer)
            case UpstreamCallReceived():
                self.deliver(event)

    def deliver(self, event):
        for effect in self.registry.handle(event, Instant(1.0)):
            match effect:
                case UpstreamCallCompleted(call):
                    self.outcomes.deliver_outcome(call, effect)
                case TableChanged(change_number) if self.saves_table:
                    self.deliver(TableSaved(change_number))

    def answer_proposal(self, proposal, command):
        if self.log_answers == "refuses":
            reason = ProposalRefusalReason.OUT_OF_TOUCH
            self.outcomes.deliver_outcome(proposal, ProposalRefused(proposal, reason, None))
            return
        self.routing_state.apply(command)
        if self.log_answers == "accepts":
            self.outcomes.deliver_outcome(proposal, ProposalAccepted(proposal, LogIndex(1)))

    def call(self, method, path, body=b"", connection=None):
        state = {} if connection is None else connection
        request = HttpServerRequest(method, path, (), body, connection_state=state)

        async def handle():
            response = self.handler.handle(request)
            return response if isinstance(response, HttpServerResponse) else await response

        return trio.run(handle, clock=trio.testing.MockClock(autojump_threshold=0.0))

    def announce(self, connection=None, **changes):
        body = json.dumps(ANNOUNCEMENT | changes).encode()
        return self.call("POST", "/-/Backends.Heartbeat/i-1", body, connection).status

    def leave(self, connection=None):
        return self.call("POST", "/-/Backends.Leave/i-1", b"", connection).status

    def status(self):
        return self.registry.table.entries[UpstreamId("i-1")].announcement.status.value

    def put(self, **changes):
        body = json.dumps(CONFIGURATION | changes).encode()
        return self.call("POST", "/-/Config.Put", body).status

    def get(self):
        response = self.call("GET", "/-/Config.Get")
        return json.loads(response.body) if response.status == 200 else response.status


@pytest.fixture
def instance():
    return Instance()


def test_a_change_whose_answer_was_lost_is_acknowledged_when_it_is_sent_again(instance):
    instance.log_answers = "late"
    assert instance.put() in (307, 503)
    instance.log_answers = "accepts"
    assert instance.put() == 200
    assert instance.proposals == 1
    assert instance.get() == CONFIGURATION


def test_an_overtaken_change_is_acknowledged_and_changes_nothing(instance):
    assert instance.put(version=9) == 200
    assert instance.put(version=7, limits={"idle_timeout_ms": 1}) == 200
    assert instance.put(version=9, limits={"idle_timeout_ms": 1}) == 200
    assert instance.proposals == 1
    assert instance.get() == CONFIGURATION | {"version": 9}


def test_a_valid_change_is_never_refused_for_good_by_an_instance_without_a_quorum(instance):
    """Responses 400 to 422 would end the operator's call although the change is proper."""
    instance.log_answers = "refuses"
    assert instance.put() in (307, 503)
    assert instance.get() in (307, 503)
    assert instance.routing_state.document is None


@pytest.mark.parametrize(
    "changes",
    [
        {"version": 0},
        {"version": "7"},
        {"routes": [*CONFIGURATION["routes"], CONFIGURATION["routes"][0]]},
        {"services": []},
    ],
)
def test_an_invalid_change_is_refused_also_under_a_version_that_is_overtaken(instance, changes):
    assert instance.put(version=3) == 200
    assert instance.put(**changes) == 400
    assert instance.get() == CONFIGURATION | {"version": 3}


def test_a_leave_notice_whose_answer_was_lost_is_acknowledged_again(instance):
    """The upstream ends after the acknowledgement; a refusal would keep it waiting."""
    announcement = json.dumps(ANNOUNCEMENT).encode()
    assert instance.call("POST", "/-/Backends.Heartbeat/i-1", announcement).status == 200
    leave = json.dumps({"born": ANNOUNCEMENT["born"], "seq": 5}).encode()
    # The disk hasn't confirmed the first one yet, so its caller waits until it gives up.
    assert instance.call("POST", "/-/Backends.Leave/i-1", leave).status == 503
    assert instance.call("POST", "/-/Backends.Leave/i-1", leave).status == 200
    assert instance.call("POST", "/-/Backends.Heartbeat/i-1", announcement).status == 200
    assert instance.registry.table.entries[UpstreamId("i-1")].announcement.status.value == "gone"


NEXT_RUN: dict[str, Any] = {"born": ANNOUNCEMENT["born"] + 5_000, "seq": 1}


def test_a_late_leave_call_without_a_body_does_not_end_the_next_run(instance):
    """The call of one run was held up by a cut and arrived when the next run was in use.

    The next run counted as gone for good, and balancers reset its open flows.
    """
    instance.saves_table = True
    connection: dict[str, Any] = {}
    assert instance.announce(connection, state="draining") == 200
    assert instance.announce(**NEXT_RUN) == 200
    assert instance.leave(connection) == 200
    assert instance.status() == "ready"
    assert instance.announce(**NEXT_RUN | {"seq": 2}) == 200
    assert instance.status() == "ready"


def test_a_late_leave_call_on_a_connection_of_its_own_does_not_end_the_next_run(instance):
    instance.saves_table = True
    instance.announce(state="draining")
    instance.announce(**NEXT_RUN)
    assert instance.leave() == 503
    assert instance.status() == "ready"
    instance.announce(**NEXT_RUN | {"seq": 2, "state": "draining"})
    assert instance.leave() == 200
    assert instance.status() == "draining"


def test_a_leave_call_without_a_body_ends_the_run_that_announced_itself_before_it(instance):
    instance.saves_table = True
    connection: dict[str, Any] = {}
    assert instance.announce(connection, state="draining", seq=5) == 200
    assert instance.leave(connection) == 200
    assert instance.status() == "gone"


def test_a_leave_call_says_nothing_about_another_upstream_on_its_connection(instance):
    connection: dict[str, Any] = {}
    instance.announce()
    other = json.dumps(ANNOUNCEMENT | {"address": "10.128.0.8:8080"}).encode()
    instance.call("POST", "/-/Backends.Heartbeat/i-2", other, connection)
    assert instance.leave(connection) == 503
    assert instance.status() == "ready"
