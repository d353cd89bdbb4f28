"""Tests of dispatch: slots, queue, refusals, cancel, deadlines, change of dispatcher."""

# mypy: disable-error-code="arg-type, union-attr, list-item, var-annotated"

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorypost.base import LeaseChanged, UpstreamsChanged, UpstreamState
from chicorypost.configuration import (
    ConfigurationApplied,
    ConfigurationDocument,
    Priority,
    ServiceSpec,
    UpstreamLimits,
    UpstreamSelector,
)
from chicorypost.upstreams import (
    AttemptRefusalReason,
    DispatcherSettings,
    DispatchOutcome,
    ExchangeEnded,
)
from chicorypost.upstreams.tests.builders import make_upstream
from chicorypost.upstreams.tests.dispatch_simulation import DONE, DispatchSimulation

ANSWERED, NOT_STARTED, UNKNOWN = DispatchOutcome
CONFIRMATION, URGENT, ORDINARY = Priority


def test_no_more_exchanges_run_than_slots_and_all_are_answered():
    fleet = DispatchSimulation(slots=3)
    attempts = [fleet.send_request() for _ in range(12)]
    fleet.advance(5.0)
    assert {fleet.outcome(attempt) for attempt in attempts} == {ANSWERED}
    assert fleet.max_running == 3


def test_configured_slots_bound_the_announced_ones():
    fleet = DispatchSimulation(slots=3)
    spec = ServiceSpec(selector=UpstreamSelector(service="orders"), limits=UpstreamLimits(slots=1))
    document = ConfigurationDocument(services={"shop": spec})
    fleet.give(fleet.dispatcher_name(), ConfigurationApplied(1, document))
    for _ in range(4):
        fleet.send_request()
    fleet.advance(5.0)
    assert fleet.max_running == 1 and len(fleet.started_attempts) == 4


def test_classes_go_in_order_and_none_starves():
    fleet = DispatchSimulation(slots=1, seconds=0.01)
    for priority in (ORDINARY, URGENT, CONFIRMATION):
        for number in range(16):
            fleet.send_request(priority=priority, attempt=f"{priority.value}{number}", seconds=9.0)
    fleet.advance(5.0)
    first = [attempt.rstrip("0123456789") for attempt in fleet.started_attempts[:17]]
    assert first.count("confirmation") > first.count("urgent") >= first.count("ordinary") >= 2
    assert len(fleet.started_attempts) == 48


def test_within_a_class_the_earliest_deadline_goes_first():
    fleet = DispatchSimulation(slots=1)
    fleet.send_request()
    late, early = fleet.send_request(seconds=8.0), fleet.send_request(seconds=4.0)
    fleet.advance(5.0)
    assert fleet.started_attempts.index(early) < fleet.started_attempts.index(late)


def test_what_cannot_finish_in_time_is_refused_at_once_with_a_time_to_come_back():
    fleet = DispatchSimulation(slots=1, seconds=0.5)
    for _ in range(12):
        fleet.send_request(seconds=60.0)
    fleet.advance(4.0)
    hopeless = fleet.send_request(seconds=0.3)
    assert fleet.reason(hopeless) == AttemptRefusalReason.DEADLINE.value
    assert fleet.replies[hopeless].retry_after_ms >= 50


def test_a_full_queue_refuses_one_class_and_keeps_room_for_the_others():
    fleet = DispatchSimulation(slots=1, settings=DispatcherSettings(default_queue_length=8))
    ordinary = [fleet.send_request(seconds=60.0) for _ in range(10)]
    assert [fleet.reason(a) for a in ordinary].count(AttemptRefusalReason.QUEUE_FULL.value) == 5
    for priority in (CONFIRMATION, URGENT):
        assert fleet.outcome(fleet.send_request(priority=priority, seconds=60.0)) is None


def test_an_idle_upstream_is_tried_however_slow_it_was():
    fleet = DispatchSimulation(slots=1, seconds=4.0)
    for _ in range(8):
        fleet.send_request(seconds=9.0)
        fleet.advance(10.0)
    attempt = fleet.send_request(seconds=1.0)
    assert attempt in fleet.started_attempts


@pytest.mark.parametrize("step", ["never sent", "queued", "running", "ended", "twice"])
def test_cancel(step):
    fleet = DispatchSimulation(slots=1)
    running, queued = (
        (fleet.send_request(), fleet.send_request()) if step != "never sent" else ("x", "x")
    )
    match step:
        case "never sent":
            fleet.cancel_attempt("x")
            fleet.send_request(attempt="x")
            assert "x" not in fleet.started_attempts
        case "queued":
            fleet.cancel_attempt(queued)
            assert fleet.reason(queued) == AttemptRefusalReason.CANCELLED.value
        case "running" | "twice":
            fleet.cancel_attempt(running)
            fleet.cancel_attempt(running)
            fleet.advance(0.1)
            assert fleet.outcome(running) is UNKNOWN
        case "ended":
            fleet.advance(2.0)
            fleet.cancel_attempt(running)
            assert fleet.outcome(running) is ANSWERED


@pytest.mark.parametrize("step", ["queued", "running", "end is lost"])
def test_a_deadline_that_passes_while(step):
    fleet = DispatchSimulation(slots=1, seconds=3.0)
    first = fleet.send_request(seconds=1.0 if step != "queued" else 9.0)
    if step == "queued":
        second = fleet.send_request(seconds=2.0)
        fleet.advance(2.1)
        assert fleet.reason(second) == AttemptRefusalReason.DEADLINE.value
    if step == "end is lost":
        fleet.timers.clear()
    fleet.advance(1.2)
    if step != "queued":
        assert fleet.outcome(first) is UNKNOWN
        assert fleet.send_request(seconds=5.0) in fleet.started_attempts


def test_late_and_double_ends_and_copies_of_attempts_change_nothing():
    fleet = DispatchSimulation(slots=1)
    attempt = fleet.send_request()
    fleet.send_request(attempt=attempt)
    fleet.advance(1.0)
    for name in (attempt, "never"):
        fleet.give(fleet.dispatcher_name(), ExchangeEnded(name, ANSWERED, "", DONE))
    fleet.send_request(attempt=attempt)
    fleet.advance(1.0)
    assert fleet.started_attempts == [attempt] and list(fleet.replies) == [attempt]


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ("removed", AttemptRefusalReason.UPSTREAM_GONE),
        ("draining", AttemptRefusalReason.UPSTREAM_NOT_READY),
        ("other service", AttemptRefusalReason.UPSTREAM_NOT_READY),
    ],
)
def test_an_upstream_that_goes_away_refuses_its_queue_and_ends_what_runs(change, reason):
    fleet = DispatchSimulation(slots=1)
    running, queued = fleet.send_request(), fleet.send_request()
    draining = make_upstream("a", state=UpstreamState.DRAINING)
    other = make_upstream("a", incarnation=2, service="archive")
    event = {
        "removed": UpstreamsChanged((), ("a",)),
        "draining": UpstreamsChanged((draining,), ()),
        "other service": UpstreamsChanged((other,), ()),
    }[change]
    fleet.give(fleet.dispatcher_name(), event)
    assert fleet.reason(queued) == reason.value
    refused = fleet.send_request()
    fleet.advance(1.0)
    assert fleet.outcome(running) is ANSWERED
    assert fleet.outcome(refused) is NOT_STARTED


def test_without_a_lease_nothing_starts_and_a_frozen_dispatcher_starts_nothing_late():
    fleet = DispatchSimulation(slots=1)
    running, queued = fleet.send_request(), fleet.send_request()
    fleet.give(fleet.dispatcher_name(), LeaseChanged(fleet.instant_after(0.2)))
    fleet.advance(1.0)
    assert fleet.outcome(running) is ANSWERED and queued not in fleet.started_attempts
    assert fleet.reason(fleet.send_request()) == AttemptRefusalReason.NO_LEASE.value


def test_a_graceful_stop_cuts_nothing_and_the_next_dispatcher_starts_at_once():
    fleet = DispatchSimulation(slots=2, seconds=3.0)
    old = fleet.dispatcher_name()
    running, queued = [fleet.send_request(), fleet.send_request(seconds=9.0)], fleet.send_request(
        seconds=9.0
    )
    fleet.advance(1.0)
    fleet.drain_dispatcher(old)
    fleet.advance(0.1)
    assert fleet.machines[old][0].may_leave
    assert fleet.reason(queued) == AttemptRefusalReason.DRAINING.value
    fleet.change_view([m.instance for m in fleet.members if m.instance != old])
    taken = fleet.send_request(seconds=9.0)
    fleet.advance(1.5)
    assert taken not in fleet.started_attempts
    fleet.advance(0.6)
    assert taken in fleet.started_attempts
    assert {fleet.outcome(attempt) for attempt in running} == {ANSWERED}
    assert fleet.machines[old][0].idle


@pytest.mark.parametrize("way", ["killed", "joined"])
def test_a_new_dispatcher_counts_what_the_old_one_may_still_run(way):
    fleet = DispatchSimulation(count=6, upstreams=tuple("abcdefgh"), slots=2, seconds=8.0)
    names = [member.instance for member in fleet.members]
    if way == "joined":
        fleet.change_view(names[:3])
        fleet.advance(10.1)
    before = {upstream: fleet.dispatcher_name(upstream) for upstream in "abcdefgh"}
    for upstream in before:
        fleet.send_request(upstream, seconds=9.0)
        fleet.send_request(upstream, seconds=9.0)
    if way == "killed":
        fleet.kill(before["a"])
    fleet.change_view([name for name in names if name in fleet.machines])
    moved = [upstream for upstream in before if fleet.dispatcher_name(upstream) != before[upstream]]
    assert moved
    attempts = [fleet.send_request(upstream, seconds=30.0) for upstream in moved]
    fleet.advance(7.9)
    assert not set(attempts) & set(fleet.started_attempts)
    fleet.advance(2.3)
    assert set(attempts) <= set(fleet.started_attempts)


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["send", "send", "send", "kill", "start", "drain", "cancel", "copy"]),
        st.integers(0, 4),
        st.floats(0.0, 2.0),
    ),
    max_size=40,
)


@given(ACTIONS, st.integers(0, 2**16))
@settings(max_examples=200)
def test_slots_hold_and_refusals_stay_true_over_every_change_of_dispatcher(actions, seed):
    draw = random.Random(seed)

    def lossy(sender, to, message):
        return [draw.random() * 0.5 for _ in range(draw.choice((0, 1, 1, 2)))]

    fleet = DispatchSimulation(5, ("a", "b", "c"), 2, loss=lossy, seconds=1.5)
    names = [member.instance for member in fleet.members]
    view, sent = set(names), []
    for what, number, seconds in actions:
        name = names[number]
        match what:
            case "send":
                upstream = "abc"[number % 3]
                if fleet.dispatcher_name(upstream) in fleet.machines:
                    attempt = fleet.send_request(
                        upstream, draw.choice(list(Priority)), 1 + 3 * seconds
                    )
                    sent.append((upstream, attempt, fleet.dispatcher_name(upstream)))
            case "copy" if sent:
                upstream, attempt, to = draw.choice(sent)
                fleet.send_request(upstream, attempt=attempt, to=to)
            case "cancel":
                if fleet.dispatcher_name() in fleet.machines:
                    fleet.cancel_attempt(f"t{draw.randint(1, fleet.count + 1)}")
            case "kill" | "drain" if name in view and len(view) > 1:
                if what == "kill":
                    fleet.kill(name)
                    fleet.advance(3.0)
                else:
                    fleet.drain_dispatcher(name)
                    fleet.advance(draw.random())
                view.discard(name)
                fleet.change_view(sorted(view))
            case "start" if name not in view:
                sent = [copy for copy in sent if copy[2] != name]
                fleet.start_dispatcher(fleet.members[number])
                view.add(name)
                fleet.change_view(sorted(view))
        fleet.advance(seconds)
    fleet.advance(30.0)
    assert not any(machines[0].attempts.lane_of for machines in fleet.machines.values())
