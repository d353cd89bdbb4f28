"""Tests of the choice of upstreams and of ejection by outcomes."""

# mypy: disable-error-code="arg-type, union-attr"

import random
from collections import Counter

import pytest

from chicorypost.base import Instant, UpstreamsChanged, UpstreamState
from chicorypost.upstreams import (
    AttemptRefusalReason,
    ChooserSettings,
    DispatchOutcome,
    DispatchReply,
    HttpResponse,
    NoUpstreamReason,
    UpstreamChooser,
)
from chicorypost.upstreams.tests.builders import make_upstream

ANSWERED, NOT_STARTED, UNKNOWN = DispatchOutcome
STARTING, READY, DRAINING = UpstreamState
LATER = Instant(100.0)


def chooser(names="abcdef", state=READY, seed=1):
    machine = UpstreamChooser(ChooserSettings(), random.Random(seed))
    upstreams = tuple(make_upstream(name, state=state) for name in names)
    machine.handle(UpstreamsChanged(upstreams, ()), Instant(0.0))
    return machine


def answer(name, outcome=ANSWERED, status=200, queued=0, reason=""):
    response = HttpResponse(status, (), b"") if outcome is ANSWERED else None
    return DispatchReply("t", name, outcome, reason, response, 0, queued, 0)


def chosen(machine, now=LATER, count=600):
    return Counter(machine.choose("orders", (), now).upstream for _ in range(count))


def test_shorter_queues_get_more_and_old_reports_are_not_believed():
    machine = chooser("ab")
    machine.observe(answer("a", queued=10_000), LATER)
    assert chosen(machine)["b"] > 400
    assert 200 < chosen(machine, Instant(LATER + 500.0))["a"] < 400


def test_without_reports_the_own_requests_are_spread_evenly():
    counts = chosen(chooser())
    assert max(counts.values()) <= 1.1 * min(counts.values())


@pytest.mark.parametrize(
    ("failing", "ejected"), [("a", "a"), ("ab", "ab"), ("abc", "ab"), ("abcdef", "ab")]
)
def test_no_more_than_a_share_of_a_service_is_ejected(failing, ejected):
    machine = chooser()
    for _ in range(20):
        for name in failing:
            machine.observe(answer(name, UNKNOWN), LATER)
    assert set(chosen(machine)) == set("abcdef") - set(ejected)


@pytest.mark.parametrize(
    "bad", [answer("a", UNKNOWN), answer("a", status=503)], ids=["no answer", "server error"]
)
def test_backoff_grows_and_probation_ends_it(bad):
    machine, now = chooser(), LATER
    for seconds in (5.0, 10.0, 20.0):
        for _ in range(5):
            machine.observe(bad, now)
        assert chosen(machine, Instant(now + seconds - 0.1))["a"] == 0
        now = Instant(now + seconds + 0.1)
        assert 0 < chosen(machine, now)["a"] < 60
    for _ in range(3):
        machine.observe(answer("a"), now)
    assert chosen(machine, now)["a"] > 60


@pytest.mark.parametrize(
    ("health", "outcomes", "is_used"),
    [
        ("stuck at good", [UNKNOWN] * 5, False),
        ("stuck at bad", [ANSWERED] * 5, True),
        ("late to see the fault", [ANSWERED] * 9 + [UNKNOWN] * 5, False),
        ("late to see the repair", [UNKNOWN] * 4 + [ANSWERED] * 3, True),
    ],
)
def test_outcomes_decide_while_a_health_endpoint_is(health, outcomes, is_used):
    """The chooser takes no word of a health endpoint, so that none can mislead it."""
    machine = chooser()
    for outcome in outcomes:
        machine.observe(answer("a", outcome), LATER)
    assert (chosen(machine)["a"] > 0) == is_used


def test_refusals_do_not_end_a_probation():
    machine = chooser()
    for outcome in [UNKNOWN] * 5 + [NOT_STARTED] * 9 + [ANSWERED] * 2:
        machine.observe(answer("a", outcome), LATER)
    assert machine.ejections.trust("a") == 2 / 3


def test_refusals_and_cancelled_requests_eject_nobody():
    machine = chooser()
    for _ in range(50):
        machine.observe(answer("a", NOT_STARTED), LATER)
        machine.observe(answer("b", UNKNOWN, reason=AttemptRefusalReason.CANCELLED.value), LATER)
    assert not machine.ejections.dump()


def test_a_cold_upstream_gets_little_at_first():
    machine = chooser("abc")
    machine.handle(UpstreamsChanged((make_upstream("a", incarnation=2),), ()), LATER)
    cold = chosen(machine)["a"]
    warm = chosen(machine, Instant(LATER + 20.0))["a"]
    assert 0 < cold < warm / 1.5


@pytest.mark.parametrize(
    ("names", "state", "excluded", "reason"),
    [
        ("", READY, "", NoUpstreamReason.NONE_KNOWN),
        ("ab", STARTING, "", NoUpstreamReason.ALL_STARTING),
        ("ab", DRAINING, "", NoUpstreamReason.ALL_DRAINING),
        ("ab", READY, "ab", NoUpstreamReason.ALL_EXCLUDED),
    ],
)
def test_a_service_without_a_usable_upstream_says_why(names, state, excluded, reason):
    assert chooser(names, state).choose("orders", excluded, LATER).reason is reason


def test_a_removed_or_moved_upstream_is_never_chosen_for_the_old_service():
    machine = chooser("ab")
    moved = make_upstream("a", incarnation=2, service="archive")
    machine.handle(UpstreamsChanged((moved,), ("b",)), LATER)
    assert machine.choose("orders", (), LATER).reason is NoUpstreamReason.NONE_KNOWN
    assert machine.choose("archive", (), LATER) == moved
