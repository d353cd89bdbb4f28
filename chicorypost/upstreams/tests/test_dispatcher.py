"""Tests of dispatch: slots, queueing, refusals, cancellation, deadlines and handover."""

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

RESPONDED, NOT_STARTED, UNKNOWN = DispatchOutcome
CONFIRMATION, URGENT, ORDINARY = Priority


def test_no_more_exchanges_run_than_slots_and_all_are_answered():
    simulation = DispatchSimulation(slots=3)
    attempts = [simulation.send_request() for _ in range(12)]
    simulation.advance(5.0)
    assert {simulation.outcome(attempt) for attempt in attempts} == {RESPONDED}
    assert simulation.max_running == 3


def test_configured_slots_bound_the_announced_ones():
    simulation = DispatchSimulation(slots=3)
    spec = ServiceSpec(selector=UpstreamSelector(service="orders"), limits=UpstreamLimits(slots=1))
    document = ConfigurationDocument(services={"shop": spec})
    simulation.deliver_event(simulation.dispatcher_name(), ConfigurationApplied(1, document))
    for _ in range(4):
        simulation.send_request()
    simulation.advance(5.0)
    assert simulation.max_running == 1 and len(simulation.started_attempts) == 4


def test_classes_go_in_order_and_none_starves():
    simulation = DispatchSimulation(slots=1, seconds=0.01)
    for priority in (ORDINARY, URGENT, CONFIRMATION):
        for number in range(16):
            simulation.send_request(
                priority=priority, attempt=f"{priority.value}{number}", seconds=9.0
            )
    simulation.advance(5.0)
    first = [attempt.rstrip("0123456789") for attempt in simulation.started_attempts[:17]]
    assert first.count("confirmation") > first.count("urgent") >= first.count("ordinary") >= 2
    assert len(simulation.started_attempts) == 48


def test_within_a_class_the_earliest_deadline_goes_first():
    simulation = DispatchSimulation(slots=1)
    simulation.send_request()
    later, earlier = simulation.send_request(seconds=8.0), simulation.send_request(seconds=4.0)
    simulation.advance(5.0)
    assert simulation.started_attempts.index(earlier) < simulation.started_attempts.index(later)


def test_an_attempt_that_cannot_finish_in_time_is_refused_with_a_retry_time():
    simulation = DispatchSimulation(slots=1, seconds=0.5)
    for _ in range(12):
        simulation.send_request(seconds=60.0)
    simulation.advance(4.0)
    refused = simulation.send_request(seconds=0.3)
    assert simulation.reason(refused) == AttemptRefusalReason.DEADLINE.value
    assert simulation.replies[refused].retry_after_ms >= 50


def test_a_full_queue_refuses_one_class_and_reserves_room_for_the_others():
    simulation = DispatchSimulation(slots=1, settings=DispatcherSettings(default_queue_length=8))
    ordinary = [simulation.send_request(seconds=60.0) for _ in range(10)]
    assert [simulation.reason(a) for a in ordinary].count(
        AttemptRefusalReason.QUEUE_FULL.value
    ) == 5
    for priority in (CONFIRMATION, URGENT):
        assert simulation.outcome(simulation.send_request(priority=priority, seconds=60.0)) is None


def test_an_idle_upstream_accepts_an_attempt_whatever_its_estimate():
    simulation = DispatchSimulation(slots=1, seconds=4.0)
    for _ in range(8):
        simulation.send_request(seconds=9.0)
        simulation.advance(10.0)
    attempt = simulation.send_request(seconds=1.0)
    assert attempt in simulation.started_attempts


@pytest.mark.parametrize("step", ["never sent", "queued", "running", "ended", "twice"])
def test_cancel(step):
    simulation = DispatchSimulation(slots=1)
    running, queued = (
        (simulation.send_request(), simulation.send_request())
        if step != "never sent"
        else ("x", "x")
    )
    match step:
        case "never sent":
            simulation.cancel_attempt("x")
            simulation.send_request(attempt="x")
            assert "x" not in simulation.started_attempts
        case "queued":
            simulation.cancel_attempt(queued)
            assert simulation.reason(queued) == AttemptRefusalReason.CANCELLED.value
        case "running" | "twice":
            simulation.cancel_attempt(running)
            simulation.cancel_attempt(running)
            simulation.advance(0.1)
            assert simulation.outcome(running) is UNKNOWN
        case "ended":
            simulation.advance(2.0)
            simulation.cancel_attempt(running)
            assert simulation.outcome(running) is RESPONDED


@pytest.mark.parametrize("step", ["queued", "running", "end is lost"])
def test_a_deadline_that_passes_while(step):
    simulation = DispatchSimulation(slots=1, seconds=3.0)
    first = simulation.send_request(seconds=1.0 if step != "queued" else 9.0)
    if step == "queued":
        second = simulation.send_request(seconds=2.0)
        simulation.advance(2.1)
        assert simulation.reason(second) == AttemptRefusalReason.DEADLINE.value
    if step == "end is lost":
        simulation.timers.clear()
    simulation.advance(1.2)
    if step != "queued":
        assert simulation.outcome(first) is UNKNOWN
        assert simulation.send_request(seconds=5.0) in simulation.started_attempts


def test_late_or_duplicate_ends_and_duplicate_attempts_change_nothing():
    simulation = DispatchSimulation(slots=1)
    attempt = simulation.send_request()
    simulation.send_request(attempt=attempt)
    simulation.advance(1.0)
    for name in (attempt, "never"):
        simulation.deliver_event(
            simulation.dispatcher_name(), ExchangeEnded(name, RESPONDED, "", DONE)
        )
    simulation.send_request(attempt=attempt)
    simulation.advance(1.0)
    assert simulation.started_attempts == [attempt] and list(simulation.replies) == [attempt]


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ("removed", AttemptRefusalReason.UPSTREAM_GONE),
        ("draining", AttemptRefusalReason.UPSTREAM_NOT_READY),
        ("other service", AttemptRefusalReason.UPSTREAM_NOT_READY),
    ],
)
def test_an_unavailable_upstream_refuses_its_queue_and_finishes_running_exchanges(change, reason):
    simulation = DispatchSimulation(slots=1)
    running, queued = simulation.send_request(), simulation.send_request()
    draining = make_upstream("a", state=UpstreamState.DRAINING)
    other = make_upstream("a", incarnation=2, service="archive")
    event = {
        "removed": UpstreamsChanged((), ("a",)),
        "draining": UpstreamsChanged((draining,), ()),
        "other service": UpstreamsChanged((other,), ()),
    }[change]
    simulation.deliver_event(simulation.dispatcher_name(), event)
    assert simulation.reason(queued) == reason.value
    refused = simulation.send_request()
    simulation.advance(1.0)
    assert simulation.outcome(running) is RESPONDED
    assert simulation.outcome(refused) is NOT_STARTED


def test_without_a_lease_nothing_starts_and_a_frozen_dispatcher_starts_nothing_late():
    simulation = DispatchSimulation(slots=1)
    running, queued = simulation.send_request(), simulation.send_request()
    simulation.deliver_event(
        simulation.dispatcher_name(), LeaseChanged(simulation.instant_after(0.2))
    )
    simulation.advance(1.0)
    assert simulation.outcome(running) is RESPONDED and queued not in simulation.started_attempts
    assert simulation.reason(simulation.send_request()) == AttemptRefusalReason.NO_LEASE.value


def test_a_graceful_stop_cuts_nothing_and_the_next_dispatcher_starts_at_once():
    simulation = DispatchSimulation(slots=2, seconds=3.0)
    old = simulation.dispatcher_name()
    running, queued = [
        simulation.send_request(),
        simulation.send_request(seconds=9.0),
    ], simulation.send_request(seconds=9.0)
    simulation.advance(1.0)
    simulation.drain_dispatcher(old)
    simulation.advance(0.1)
    assert simulation.machines[old][0].may_leave
    assert simulation.reason(queued) == AttemptRefusalReason.DRAINING.value
    simulation.change_view([m.instance for m in simulation.members if m.instance != old])
    taken = simulation.send_request(seconds=9.0)
    simulation.advance(1.5)
    assert taken not in simulation.started_attempts
    simulation.advance(0.6)
    assert taken in simulation.started_attempts
    assert {simulation.outcome(attempt) for attempt in running} == {RESPONDED}
    assert simulation.machines[old][0].is_idle


@pytest.mark.parametrize("way", ["killed", "joined"])
def test_a_new_dispatcher_counts_what_the_old_one_may_still_run(way):
    simulation = DispatchSimulation(count=6, upstreams=tuple("abcdefgh"), slots=2, seconds=8.0)
    names = [member.instance for member in simulation.members]
    if way == "joined":
        simulation.change_view(names[:3])
        simulation.advance(10.1)
    before = {upstream: simulation.dispatcher_name(upstream) for upstream in "abcdefgh"}
    for upstream in before:
        simulation.send_request(upstream, seconds=9.0)
        simulation.send_request(upstream, seconds=9.0)
    if way == "killed":
        simulation.crash_instance(before["a"])
    simulation.change_view([name for name in names if name in simulation.machines])
    moved = [
        upstream for upstream in before if simulation.dispatcher_name(upstream) != before[upstream]
    ]
    assert moved
    attempts = [simulation.send_request(upstream, seconds=30.0) for upstream in moved]
    simulation.advance(7.9)
    assert not set(attempts) & set(simulation.started_attempts)
    simulation.advance(2.3)
    assert set(attempts) <= set(simulation.started_attempts)


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

    simulation = DispatchSimulation(5, ("a", "b", "c"), 2, loss=lossy, seconds=1.5)
    names = [member.instance for member in simulation.members]
    view, sent = set(names), []
    for action, number, seconds in actions:
        name = names[number]
        match action:
            case "send":
                upstream = "abc"[number % 3]
                if simulation.dispatcher_name(upstream) in simulation.machines:
                    attempt = simulation.send_request(
                        upstream, draw.choice(list(Priority)), 1 + 3 * seconds
                    )
                    sent.append((upstream, attempt, simulation.dispatcher_name(upstream)))
            case "copy" if sent:
                upstream, attempt, to = draw.choice(sent)
                simulation.send_request(upstream, attempt=attempt, to=to)
            case "cancel":
                if simulation.dispatcher_name() in simulation.machines:
                    simulation.cancel_attempt(f"t{draw.randint(1, simulation.count + 1)}")
            case "kill" | "drain" if name in view and len(view) > 1:
                if action == "kill":
                    simulation.crash_instance(name)
                    simulation.advance(3.0)
                else:
                    simulation.drain_dispatcher(name)
                    simulation.advance(draw.random())
                view.discard(name)
                simulation.change_view(sorted(view))
            case "start" if name not in view:
                sent = [copy for copy in sent if copy[2] != name]
                simulation.start_dispatcher(simulation.members[number])
                view.add(name)
                simulation.change_view(sorted(view))
        simulation.advance(seconds)
    simulation.advance(30.0)
    assert not any(machines[0].attempts.queue_of for machines in simulation.machines.values())
