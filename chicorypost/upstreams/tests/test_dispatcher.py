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
from chicorypost.upstreams import DispatcherSettings, DispatchOutcome, ExchangeEnded, RefusalCause
from chicorypost.upstreams.tests.dispatch_fleet import DONE, DispatchFleet
from chicorypost.upstreams.tests.fakes import make_upstream

ANSWERED, NOT_STARTED, UNKNOWN = DispatchOutcome
CONFIRMATION, URGENT, ORDINARY = Priority


def test_no_more_exchanges_run_than_slots_and_all_are_answered():
    fleet = DispatchFleet(slots=3)
    attempts = [fleet.send() for _ in range(12)]
    fleet.advance(5.0)
    assert {fleet.outcome(attempt) for attempt in attempts} == {ANSWERED}
    assert fleet.most == 3


def test_configured_slots_bound_the_announced_ones():
    fleet = DispatchFleet(slots=3)
    spec = ServiceSpec(selector=UpstreamSelector(service="orders"), limits=UpstreamLimits(slots=1))
    document = ConfigurationDocument(services={"shop": spec})
    fleet.give(fleet.dispatcher(), ConfigurationApplied(1, document))
    for _ in range(4):
        fleet.send()
    fleet.advance(5.0)
    assert fleet.most == 1 and len(fleet.ran) == 4


def test_classes_go_in_order_and_none_starves():
    fleet = DispatchFleet(slots=1, seconds=0.01)
    for priority in (ORDINARY, URGENT, CONFIRMATION):
        for number in range(16):
            fleet.send(priority=priority, attempt=f"{priority.value}{number}", seconds=9.0)
    fleet.advance(5.0)
    first = [attempt.rstrip("0123456789") for attempt in fleet.ran[:17]]
    assert first.count("confirmation") > first.count("urgent") >= first.count("ordinary") >= 2
    assert len(fleet.ran) == 48


def test_within_a_class_the_earliest_deadline_goes_first():
    fleet = DispatchFleet(slots=1)
    fleet.send()
    late, early = fleet.send(seconds=8.0), fleet.send(seconds=4.0)
    fleet.advance(5.0)
    assert fleet.ran.index(early) < fleet.ran.index(late)


def test_what_cannot_finish_in_time_is_refused_at_once_with_a_time_to_come_back():
    fleet = DispatchFleet(slots=1, seconds=0.5)
    for _ in range(12):
        fleet.send(seconds=60.0)
    fleet.advance(4.0)
    hopeless = fleet.send(seconds=0.3)
    assert fleet.reason(hopeless) == RefusalCause.DEADLINE.value
    assert fleet.answers[hopeless].retry_after_ms >= 50


def test_a_full_queue_refuses_one_class_and_keeps_room_for_the_others():
    fleet = DispatchFleet(slots=1, settings=DispatcherSettings(default_queue_length=8))
    ordinary = [fleet.send(seconds=60.0) for _ in range(10)]
    assert [fleet.reason(a) for a in ordinary].count(RefusalCause.QUEUE_FULL.value) == 5
    for priority in (CONFIRMATION, URGENT):
        assert fleet.outcome(fleet.send(priority=priority, seconds=60.0)) is None


def test_an_idle_upstream_is_tried_however_slow_it_was():
    fleet = DispatchFleet(slots=1, seconds=4.0)
    for _ in range(8):
        fleet.send(seconds=9.0)
        fleet.advance(10.0)
    attempt = fleet.send(seconds=1.0)
    assert attempt in fleet.ran


@pytest.mark.parametrize("step", ["never sent", "queued", "running", "ended", "twice"])
def test_cancel(step):
    fleet = DispatchFleet(slots=1)
    running, queued = (fleet.send(), fleet.send()) if step != "never sent" else ("x", "x")
    match step:
        case "never sent":
            fleet.cancel("x")
            fleet.send(attempt="x")
            assert "x" not in fleet.ran
        case "queued":
            fleet.cancel(queued)
            assert fleet.reason(queued) == RefusalCause.CANCELLED.value
        case "running" | "twice":
            fleet.cancel(running)
            fleet.cancel(running)
            fleet.advance(0.1)
            assert fleet.outcome(running) is UNKNOWN
        case "ended":
            fleet.advance(2.0)
            fleet.cancel(running)
            assert fleet.outcome(running) is ANSWERED


@pytest.mark.parametrize("step", ["queued", "running", "end is lost"])
def test_a_deadline_that_passes_while(step):
    fleet = DispatchFleet(slots=1, seconds=3.0)
    first = fleet.send(seconds=1.0 if step != "queued" else 9.0)
    if step == "queued":
        second = fleet.send(seconds=2.0)
        fleet.advance(2.1)
        assert fleet.reason(second) == RefusalCause.DEADLINE.value
    if step == "end is lost":
        fleet.timers.clear()
    fleet.advance(1.2)
    if step != "queued":
        assert fleet.outcome(first) is UNKNOWN
        assert fleet.send(seconds=5.0) in fleet.ran


def test_late_and_double_ends_and_copies_of_attempts_change_nothing():
    fleet = DispatchFleet(slots=1)
    attempt = fleet.send()
    fleet.send(attempt=attempt)
    fleet.advance(1.0)
    for name in (attempt, "never"):
        fleet.give(fleet.dispatcher(), ExchangeEnded(name, ANSWERED, "", DONE))
    fleet.send(attempt=attempt)
    fleet.advance(1.0)
    assert fleet.ran == [attempt] and list(fleet.answers) == [attempt]


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ("removed", RefusalCause.UPSTREAM_GONE),
        ("draining", RefusalCause.UPSTREAM_NOT_READY),
        ("other service", RefusalCause.UPSTREAM_NOT_READY),
    ],
)
def test_an_upstream_that_goes_away_refuses_its_queue_and_ends_what_runs(change, reason):
    fleet = DispatchFleet(slots=1)
    running, queued = fleet.send(), fleet.send()
    draining = make_upstream("a", state=UpstreamState.DRAINING)
    other = make_upstream("a", incarnation=2, service="archive")
    event = {
        "removed": UpstreamsChanged((), ("a",)),
        "draining": UpstreamsChanged((draining,), ()),
        "other service": UpstreamsChanged((other,), ()),
    }[change]
    fleet.give(fleet.dispatcher(), event)
    assert fleet.reason(queued) == reason.value
    refused = fleet.send()
    fleet.advance(1.0)
    assert fleet.outcome(running) is ANSWERED
    assert fleet.outcome(refused) is NOT_STARTED


def test_without_a_lease_nothing_starts_and_a_frozen_dispatcher_starts_nothing_late():
    fleet = DispatchFleet(slots=1)
    running, queued = fleet.send(), fleet.send()
    fleet.give(fleet.dispatcher(), LeaseChanged(fleet.instant(0.2)))
    fleet.advance(1.0)
    assert fleet.outcome(running) is ANSWERED and queued not in fleet.ran
    assert fleet.reason(fleet.send()) == RefusalCause.NO_LEASE.value


def test_a_graceful_stop_cuts_nothing_and_the_next_dispatcher_starts_at_once():
    fleet = DispatchFleet(slots=2, seconds=3.0)
    old = fleet.dispatcher()
    running, queued = [fleet.send(), fleet.send(seconds=9.0)], fleet.send(seconds=9.0)
    fleet.advance(1.0)
    fleet.drain(old)
    fleet.advance(0.1)
    assert fleet.machines[old][0].may_leave
    assert fleet.reason(queued) == RefusalCause.DRAINING.value
    fleet.change_view([m.instance for m in fleet.members if m.instance != old])
    taken = fleet.send(seconds=9.0)
    fleet.advance(1.5)
    assert taken not in fleet.ran
    fleet.advance(0.6)
    assert taken in fleet.ran
    assert {fleet.outcome(attempt) for attempt in running} == {ANSWERED}
    assert fleet.machines[old][0].idle


@pytest.mark.parametrize("way", ["killed", "joined"])
def test_a_new_dispatcher_counts_what_the_old_one_may_still_run(way):
    fleet = DispatchFleet(count=6, upstreams=tuple("abcdefgh"), slots=2, seconds=8.0)
    names = [member.instance for member in fleet.members]
    if way == "joined":
        fleet.change_view(names[:3])
        fleet.advance(10.1)
    before = {upstream: fleet.dispatcher(upstream) for upstream in "abcdefgh"}
    for upstream in before:
        fleet.send(upstream, seconds=9.0)
        fleet.send(upstream, seconds=9.0)
    if way == "killed":
        fleet.kill(before["a"])
    fleet.change_view([name for name in names if name in fleet.machines])
    moved = [upstream for upstream in before if fleet.dispatcher(upstream) != before[upstream]]
    assert moved
    attempts = [fleet.send(upstream, seconds=30.0) for upstream in moved]
    fleet.advance(7.9)
    assert not set(attempts) & set(fleet.ran)
    fleet.advance(2.3)
    assert set(attempts) <= set(fleet.ran)


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

    fleet = DispatchFleet(5, ("a", "b", "c"), 2, loss=lossy, seconds=1.5)
    names = [member.instance for member in fleet.members]
    view, sent = set(names), []
    for what, number, seconds in actions:
        name = names[number]
        match what:
            case "send":
                upstream = "abc"[number % 3]
                if fleet.dispatcher(upstream) in fleet.machines:
                    attempt = fleet.send(upstream, draw.choice(list(Priority)), 1 + 3 * seconds)
                    sent.append((upstream, attempt, fleet.dispatcher(upstream)))
            case "copy" if sent:
                upstream, attempt, to = draw.choice(sent)
                fleet.send(upstream, attempt=attempt, to=to)
            case "cancel":
                if fleet.dispatcher() in fleet.machines:
                    fleet.cancel(f"t{draw.randint(1, fleet.count + 1)}")
            case "kill" | "drain" if name in view and len(view) > 1:
                if what == "kill":
                    fleet.kill(name)
                    fleet.advance(3.0)
                else:
                    fleet.drain(name)
                    fleet.advance(draw.random())
                view.discard(name)
                fleet.change_view(sorted(view))
            case "start" if name not in view:
                sent = [copy for copy in sent if copy[2] != name]
                fleet.start(fleet.members[number])
                view.add(name)
                fleet.change_view(sorted(view))
        fleet.advance(seconds)
    fleet.advance(30.0)
    assert not any(machines[0].attempts.lane_of for machines in fleet.machines.values())
