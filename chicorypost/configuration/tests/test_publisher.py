"""Tests of single rules of publisher, relay and serving gate."""

from random import Random
from typing import Any

import pytest

from chicorypost.base import (
    DataCentreId,
    Epoch,
    Incarnation,
    InstanceId,
    Instant,
    LeaseChanged,
    Received,
    Send,
    Version,
    View,
)
from chicorypost.configuration import (
    AdmissionCommitted,
    AdmitDataCentre,
    AssignmentKind,
    ClearReleases,
    ConfigurationPublisher,
    LeadershipChanged,
    ProposeCommand,
    StateApplied,
    WithheldAssignment,
)
from chicorypost.configuration._messages import (
    AppliedConfiguration,
    ConfigurationPoll,
    DataCentreReport,
    ReplyGuarantee,
    ReplyHeader,
)
from chicorypost.configuration._relay import ConfigurationRelay
from chicorypost.configuration._serving_gate import ServingGate
from chicorypost.configuration._window import DocumentWindow
from chicorypost.configuration.tests._cluster import SETTINGS, make_member

GENT = DataCentreId("gent")
RELAY = InstanceId("gent-0")
NOW = Instant(1.0)
HOLD = WithheldAssignment(AssignmentKind.ADDRESS, "10.0.0.1:80/tcp", "archive", Version(5))


def publisher(admitted=0, withheld=(HOLD,)):
    machine = ConfigurationPublisher(SETTINGS, InstanceId("control-0"), Random(1), NOW)
    machine.handle(LeadershipChanged(True), NOW)
    machine.handle(StateApplied(Version(5), {}, withheld, {GENT: Epoch(admitted)}), NOW)
    return machine


def report(epoch, heard, floor):
    return DataCentreReport(
        GENT, Epoch(epoch), Epoch(heard), Version(floor), Version(5), 0, 3, 0, (), ()
    )


def proposals(effects):
    return [effect.command for effect in effects if isinstance(effect, ProposeCommand)]


@pytest.mark.parametrize(
    ("epoch", "heard", "admitted", "floor", "clears"),
    [
        (3, 3, 3, 5, True),
        (3, 3, 3, 4, False),
        (3, 4, 3, 5, False),
        (3, 3, 4, 5, False),
        (3, 2, 1, 6, True),
        (3, 3, 3, -1, False),
    ],
)
def test_a_release_waits_for_all_balancers_of_every_epoch_heard_of(
    epoch, heard, admitted, floor, clears
):
    machine = publisher(admitted)
    effects = machine.handle(Received(RELAY, report(epoch, heard, floor)), Instant(5.0))
    expected = [ClearReleases(Version(5), 0)] if clears else []
    assert proposals(effects) == expected


def test_a_release_waits_for_a_data_centre_that_never_reported():
    machine = publisher()
    machine.handle(
        StateApplied(Version(5), {}, (HOLD,), {GENT: Epoch(1), DataCentreId("aalst"): Epoch(1)}),
        NOW,
    )
    assert proposals(machine.handle(Received(RELAY, report(3, 3, 5)), Instant(5.0))) == []


def poll(epoch=2):
    standing = AppliedConfiguration(Incarnation(1), Version(0), 0, Epoch(0))
    return ConfigurationPoll("token", GENT, Epoch(epoch), True, standing)


def sources(effects):
    messages: list[Any] = [effect.message for effect in effects if isinstance(effect, Send)]
    return [message.head.source for message in messages]


def test_a_starting_balancer_is_admitted_only_once_the_log_has_recorded_it():
    machine = publisher()
    asked = machine.handle(Received(InstanceId("a"), poll()), NOW)
    assert sources(asked) == [ReplyGuarantee.UNCERTAIN]
    later = machine.handle(Received(InstanceId("b"), poll(epoch=3)), NOW)
    assert proposals(later) == []
    token = proposals(asked)[0].token
    admitted = machine.handle(AdmissionCommitted(token), NOW)
    assert [effect.to for effect in admitted] == ["a"]
    assert sources(admitted) == [ReplyGuarantee.ADMITTED]


def test_a_data_centre_that_was_forgotten_but_reports_is_waited_for_again():
    machine = publisher()
    machine.handle(StateApplied(Version(5), {}, (HOLD,), {}), NOW)
    effects = machine.handle(Received(RELAY, report(3, 3, 2)), NOW)
    assert [type(command) for command in proposals(effects)] == [AdmitDataCentre]
    assert proposals(machine.handle(Received(RELAY, report(3, 3, 2)), NOW)) == []


def test_an_instance_that_does_not_lead_admits_nobody():
    machine = publisher()
    machine.handle(LeadershipChanged(False), NOW)
    effects = machine.handle(Received(InstanceId("a"), poll()), NOW)
    assert sources(effects) == [ReplyGuarantee.UNCERTAIN]
    assert proposals(effects) == []


def test_what_an_earlier_start_of_a_balancer_confirmed_does_not_count():
    members = [make_member("gent-0", "gent", 1), make_member("gent-1", "gent", 2)]
    relay = ConfigurationRelay(SETTINGS, members[0], NOW)
    window = DocumentWindow(4)
    window.add_version(Version(5), {})
    view = View(GENT, Epoch(1), tuple(members))
    relay.record_confirmation(
        InstanceId("gent-1"), AppliedConfiguration(Incarnation(1), Version(5), 0, Epoch(1)), NOW
    )
    assert relay.make_report(view, window, Epoch(1), NOW).lowest_version == -1
    relay.record_confirmation(
        InstanceId("gent-1"), AppliedConfiguration(Incarnation(2), Version(5), 0, Epoch(1)), NOW
    )
    assert relay.make_report(view, window, Epoch(1), NOW).lowest_version == 5


def gate_in_view():
    gate = ServingGate(Incarnation(1), NOW)
    gate.enter_view(Epoch(1), Version(0), NOW)
    gate.set_lease(Instant(4.0), Version(0), NOW)
    return gate


def count(gate, token, source=ReplyGuarantee.SERVING):
    head = ReplyHeader(token, source)
    return gate.count(InstanceId("gent-1"), head, {InstanceId("gent-1")}, Version(1))


@pytest.mark.parametrize("source", list(ReplyGuarantee))
def test_a_started_balancer_serves_only_after_an_answer_that_later_releases_respect(source):
    gate = gate_in_view()
    effects = count(gate, gate.token, source)
    serves = source in (ReplyGuarantee.SERVING, ReplyGuarantee.ADMITTED)
    assert gate.may_act(NOW) is serves
    assert (LeaseChanged(Instant(4.0)) in effects) is serves


@pytest.mark.parametrize("change", ["later view", "lost lease", "earlier start"])
def test_an_answer_from_before_a_change_of_view_or_lease_does_not_count(change):
    gate = gate_in_view()
    token = gate.token
    if change == "later view":
        gate.enter_view(Epoch(2), Version(0), NOW)
    elif change == "lost lease":
        count(gate, token)
        gate.expire(Version(0), Instant(4.0))
        gate.set_lease(Instant(9.0), Version(0), Instant(5.0))
    else:
        gate.incarnation = Incarnation(2)
    count(gate, token)
    assert not gate.may_act(Instant(5.0))
    assert not gate.serving
