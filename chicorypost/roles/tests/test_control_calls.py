"""Calls of operators and upstreams whose answer was lost and that are therefore sent again."""

import json
from types import SimpleNamespace

import pytest
import trio
import trio.testing

from chicorypost.announcements import (
    AnnouncementRegistry,
    AnnouncementSettings,
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
from chicorypost.platform import read_configuration
from chicorypost.platform.tests.test_readers import ANNOUNCEMENT, CONFIGURATION
from chicorypost.roles._control_calls import ControlCallHandler
from chicorypost.roles._pending_outcomes import PendingOutcomes
from chicorypost.routing import RoutingState
from chicorypost.transport import HttpServerRequest, HttpServerResponse

LEADER = InstanceId("10.0.0.2:80")


class Instance:
    """A control instance whose log accepts, refuses or doesn't answer, as the test says."""

    def __init__(self) -> None:
        self.log_answers = "accepts"
        self.proposals = 0
        self.routing_state = RoutingState(read_configuration)
        self.registry = AnnouncementRegistry(AnnouncementSettings(), 1, Instant(0.0))
        self.outcomes = PendingOutcomes(self)  # type: ignore[arg-type]
        replica = SimpleNamespace(leader=LEADER)
        self.handler = ControlCallHandler(
            InstanceId("10.0.0.1:80"),
            SimpleNamespace(replica=replica),  # type: ignore[arg-type]
            self.routing_state,
            self.outcomes,
            SimpleNamespace(emit=lambda event: None),  # type: ignore[arg-type]
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
                for effect in self.registry.handle(event, Instant(1.0)):
                    if isinstance(effect, UpstreamCallCompleted):
                        self.outcomes.deliver_outcome(effect.call_id, effect)

    def answer_proposal(self, proposal, command):
        if self.log_answers == "refuses":
            reason = ProposalRefusalReason.OUT_OF_TOUCH
            self.outcomes.deliver_outcome(proposal, ProposalRefused(proposal, reason, None))
            return
        self.routing_state.apply(command)
        if self.log_answers == "accepts":
            self.outcomes.deliver_outcome(proposal, ProposalAccepted(proposal, LogIndex(1)))

    def call(self, method, path, body=b""):
        request = HttpServerRequest(method, path, (), body)

        async def handle():
            response = self.handler.handle(request)
            return response if isinstance(response, HttpServerResponse) else await response

        return trio.run(handle, clock=trio.testing.MockClock(autojump_threshold=0.0))

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
