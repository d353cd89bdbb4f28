"""Tests of upstream selection and outlier ejection."""

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

RESPONDED, NOT_STARTED, UNKNOWN = DispatchOutcome
STARTING, READY, DRAINING = UpstreamState
LATER = Instant(100.0)


def make_chooser(names="abcdef", state=READY, seed=1):
    chooser = UpstreamChooser(ChooserSettings(), random.Random(seed))
    upstreams = tuple(make_upstream(name, state=state) for name in names)
    chooser.handle(UpstreamsChanged(upstreams, ()), Instant(0.0))
    return chooser


def reply(name, outcome=RESPONDED, status=200, queued=0, reason=""):
    response = HttpResponse(status, (), b"") if outcome is RESPONDED else None
    return DispatchReply("t", name, outcome, reason, response, 0, queued, 0)


def count_choices(chooser, now=LATER, count=600):
    return Counter(chooser.choose("orders", (), now).upstream for _ in range(count))


def test_shorter_queues_get_more_requests_and_expired_reports_are_ignored():
    chooser = make_chooser("ab")
    chooser.observe(reply("a", queued=10_000), LATER)
    assert count_choices(chooser)["b"] > 400
    assert 200 < count_choices(chooser, Instant(LATER + 500.0))["a"] < 400


def test_without_reports_requests_are_distributed_evenly():
    choice_counts = count_choices(make_chooser())
    assert max(choice_counts.values()) <= 1.1 * min(choice_counts.values())


@pytest.mark.parametrize(
    ("failing", "ejected"), [("a", "a"), ("ab", "ab"), ("abc", "ab"), ("abcdef", "ab")]
)
def test_at_most_a_share_of_a_service_is_ejected(failing, ejected):
    chooser = make_chooser()
    for _ in range(20):
        for name in failing:
            chooser.observe(reply(name, UNKNOWN), LATER)
    assert set(count_choices(chooser)) == set("abcdef") - set(ejected)


@pytest.mark.parametrize(
    "bad", [reply("a", UNKNOWN), reply("a", status=503)], ids=["no answer", "server error"]
)
def test_ejections_get_longer_and_probation_ends_them(bad):
    chooser, now = make_chooser(), LATER
    for seconds in (5.0, 10.0, 20.0):
        for _ in range(5):
            chooser.observe(bad, now)
        assert count_choices(chooser, Instant(now + seconds - 0.1))["a"] == 0
        now = Instant(now + seconds + 0.1)
        assert 0 < count_choices(chooser, now)["a"] < 60
    for _ in range(3):
        chooser.observe(reply("a"), now)
    assert count_choices(chooser, now)["a"] > 60


@pytest.mark.parametrize(
    ("health", "outcomes", "is_used"),
    [
        ("stuck at good", [UNKNOWN] * 5, False),
        ("stuck at bad", [RESPONDED] * 5, True),
        ("late to see the fault", [RESPONDED] * 9 + [UNKNOWN] * 5, False),
        ("late to see the repair", [UNKNOWN] * 4 + [RESPONDED] * 3, True),
    ],
)
def test_outcomes_decide_while_a_health_endpoint_is(health, outcomes, is_used):
    """The chooser ignores health endpoints, so a wrong health status cannot mislead it."""
    chooser = make_chooser()
    for outcome in outcomes:
        chooser.observe(reply("a", outcome), LATER)
    assert (count_choices(chooser)["a"] > 0) == is_used


def test_refusals_do_not_end_a_probation():
    chooser = make_chooser()
    for outcome in [UNKNOWN] * 5 + [NOT_STARTED] * 9 + [RESPONDED] * 2:
        chooser.observe(reply("a", outcome), LATER)
    assert chooser.ejections.probation_weight("a") == 2 / 3


def test_refusals_and_cancelled_requests_eject_no_upstream():
    chooser = make_chooser()
    for _ in range(50):
        chooser.observe(reply("a", NOT_STARTED), LATER)
        chooser.observe(reply("b", UNKNOWN, reason=AttemptRefusalReason.CANCELLED.value), LATER)
    assert not chooser.ejections.dump()


def test_a_new_upstream_gets_few_requests_at_first():
    chooser = make_chooser("abc")
    chooser.handle(UpstreamsChanged((make_upstream("a", incarnation=2),), ()), LATER)
    cold = count_choices(chooser)["a"]
    warm = count_choices(chooser, Instant(LATER + 20.0))["a"]
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
def test_a_service_without_a_usable_upstream_gives_the_reason(names, state, excluded, reason):
    assert make_chooser(names, state).choose("orders", excluded, LATER).reason is reason


def test_a_removed_or_moved_upstream_is_never_chosen_for_the_old_service():
    chooser = make_chooser("ab")
    moved = make_upstream("a", incarnation=2, service="archive")
    chooser.handle(UpstreamsChanged((moved,), ("b",)), LATER)
    assert chooser.choose("orders", (), LATER).reason is NoUpstreamReason.NONE_KNOWN
    assert chooser.choose("archive", (), LATER) == moved
