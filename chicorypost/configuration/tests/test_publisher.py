"""Unit tests of publisher, relay and serving gate."""

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
WITHHELD = WithheldAssignment(AssignmentKind.ADDRESS, "10.0.0.1:80/tcp", "archive", Version(5))


def make_publisher(admitted=0, withheld=(WITHHELD,)):
    publisher = ConfigurationPublisher(SETTINGS, InstanceId("control-0"), Random(1), NOW)
    publisher.handle(LeadershipChanged(True), NOW)
    publisher.handle(StateApplied(Version(5), {}, withheld, {GENT: Epoch(admitted)}), NOW)
    return publisher


def make_report(epoch, highest_epoch, lowest_version):
    return DataCentreReport(
        GENT,
        Epoch(epoch),
        Epoch(highest_epoch),
        Version(lowest_version),
        Version(5),
        0,
        3,
        0,
        (),
        (),
    )


def proposals(effects):
    return [effect.command for effect in effects if isinstance(effect, ProposeCommand)]


@pytest.mark.parametrize(
    ("epoch", "highest_epoch", "admitted", "lowest_version", "clears"),
    [
        (3, 3, 3, 5, True),
        (3, 3, 3, 4, False),
        (3, 4, 3, 5, False),
        (3, 3, 4, 5, False),
        (3, 2, 1, 6, True),
        (3, 3, 3, -1, False),
    ],
)
def test_release_waits_for_all_balancers_of_every_known_epoch(
    epoch, highest_epoch, admitted, lowest_version, clears
):
    publisher = make_publisher(admitted)
    effects = publisher.handle(
        Received(RELAY, make_report(epoch, highest_epoch, lowest_version)), Instant(5.0)
    )
    expected = [ClearReleases(Version(5), 0)] if clears else []
    assert proposals(effects) == expected


def test_a_release_waits_for_a_data_centre_that_never_reported():
    publisher = make_publisher()
    publisher.handle(
        StateApplied(
            Version(5), {}, (WITHHELD,), {GENT: Epoch(1), DataCentreId("aalst"): Epoch(1)}
        ),
        NOW,
    )
    assert proposals(publisher.handle(Received(RELAY, make_report(3, 3, 5)), Instant(5.0))) == []


def make_poll(epoch=2):
    applied = AppliedConfiguration(Incarnation(1), Version(0), 0, Epoch(0))
    return ConfigurationPoll("token", GENT, Epoch(epoch), True, applied)


def guarantees(effects):
    messages: list[Any] = [effect.message for effect in effects if isinstance(effect, Send)]
    return [message.header.guarantee for message in messages]


def test_a_starting_balancer_is_admitted_only_once_the_log_has_recorded_it():
    publisher = make_publisher()
    first = publisher.handle(Received(InstanceId("a"), make_poll()), NOW)
    assert guarantees(first) == [ReplyGuarantee.UNCERTAIN]
    second = publisher.handle(Received(InstanceId("b"), make_poll(epoch=3)), NOW)
    assert proposals(second) == []
    token = proposals(first)[0].token
    admitted = publisher.handle(AdmissionCommitted(token), NOW)
    assert [effect.to for effect in admitted] == ["a"]
    assert guarantees(admitted) == [ReplyGuarantee.ADMITTED]


def test_forgotten_data_centre_that_reports_is_admitted_again():
    publisher = make_publisher()
    publisher.handle(StateApplied(Version(5), {}, (WITHHELD,), {}), NOW)
    effects = publisher.handle(Received(RELAY, make_report(3, 3, 2)), NOW)
    assert [type(command) for command in proposals(effects)] == [AdmitDataCentre]
    assert proposals(publisher.handle(Received(RELAY, make_report(3, 3, 2)), NOW)) == []


def test_only_the_leader_admits_balancers():
    publisher = make_publisher()
    publisher.handle(LeadershipChanged(False), NOW)
    effects = publisher.handle(Received(InstanceId("a"), make_poll()), NOW)
    assert guarantees(effects) == [ReplyGuarantee.UNCERTAIN]
    assert proposals(effects) == []


def test_confirmation_of_an_earlier_incarnation_does_not_count():
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


def make_gate_in_view():
    gate = ServingGate(Incarnation(1), NOW)
    gate.enter_view(Epoch(1), Version(0), NOW)
    gate.set_lease(Instant(4.0), Version(0), NOW)
    return gate


def process_reply(gate, token, guarantee=ReplyGuarantee.SERVING):
    header = ReplyHeader(token, guarantee)
    return gate.process_reply(InstanceId("gent-1"), header, {InstanceId("gent-1")}, Version(1))


@pytest.mark.parametrize("guarantee", list(ReplyGuarantee))
def test_started_balancer_serves_only_after_a_reply_that_guarantees_later_releases_wait(guarantee):
    gate = make_gate_in_view()
    effects = process_reply(gate, gate.poll_token, guarantee)
    serves = guarantee in (ReplyGuarantee.SERVING, ReplyGuarantee.ADMITTED)
    assert gate.may_act(NOW) is serves
    assert (LeaseChanged(Instant(4.0)) in effects) is serves


@pytest.mark.parametrize("change", ["later view", "lost lease", "earlier start"])
def test_reply_from_before_a_change_of_view_or_lease_is_ignored(change):
    gate = make_gate_in_view()
    token = gate.poll_token
    if change == "later view":
        gate.enter_view(Epoch(2), Version(0), NOW)
    elif change == "lost lease":
        process_reply(gate, token)
        gate.expire_lease(Version(0), Instant(4.0))
        gate.set_lease(Instant(9.0), Version(0), Instant(5.0))
    else:
        gate.incarnation = Incarnation(2)
    process_reply(gate, token)
    assert not gate.may_act(Instant(5.0))
    assert not gate.is_serving
