"""Explanations of where an opening would go, compared with where openings go."""

import copy
import json
from collections import Counter
from random import Random

import msgspec
import pytest

from chicorypost.announcements import (
    AnnouncedStatus,
    BalancersCounted,
    EvacuationsApplied,
    JudgedState,
    Judgement,
    RoutingApplied,
    VisibleUpstreamsChanged,
)
from chicorypost.base import Address, FlowKey, Instant, ServiceId
from chicorypost.cookies import BalancingSettings, CookieRouter, CookieSettings, ForwardPacket
from chicorypost.cookies._explanation import Exclusion, describe_opening, explain_opening
from chicorypost.cookies._packet import DropReason, ResetReason
from chicorypost.cookies.tests.test_cold_starts import (
    COLD_UNTIL,
    DATA_CENTRES,
    LIMITS,
    NAMES,
    START,
    at,
    make_visible,
    routing,
)
from chicorypost.cookies.tests.test_router import ADDRESS, SERVICE, opening
from chicorypost.evacuation import Evacuations, Revision
from chicorypost.routing import WeightedService

OPENINGS = 4000
TOLERANCE = 0.05
"""Far above the spread of a share of `OPENINGS` random choices."""


def make_router(seed=0, **arguments):
    router = CookieRouter(
        CookieSettings(), DATA_CENTRES[0], Random(seed), Instant(START - 60.0), **arguments
    )
    router.handle(RoutingApplied(routing()), START)
    return router


def show(router, *upstreams):
    router.handle(VisibleUpstreamsChanged(upstreams), START)


def evacuate(router, *data_centres):
    router.handle(EvacuationsApplied(Evacuations(Revision(1), data_centres)), START)


def suspect(router, number):
    router.suspected_upstreams.record_unanswered_opening(NAMES[number], START, START)


def load(router, number, flows):
    for flow in range(flows):
        key = FlowKey(f"load-{number}-{flow}".encode())
        router.tracker.record_opening(key, NAMES[number], START)


def spread_over_data_centres(router):
    show(router, *[make_visible(number, slots=2 + number % 3) for number in range(9)])
    load(router, 0, 2)
    load(router, 5, 1)


def everything_at_once(router):
    spread_over_data_centres(router)
    show(router, make_visible(1, is_silent=True), make_visible(2, COLD_UNTIL))
    show(router, make_visible(3, status=AnnouncedStatus.DRAINING))
    suspect(router, 4)
    evacuate(router, DATA_CENTRES[1])


def all_cold(router):
    router.handle(BalancersCounted(1), START)
    show(router, make_visible(0, COLD_UNTIL), make_visible(1, COLD_UNTIL, is_silent=True))


def only_silent(router):
    show(router, make_visible(0, is_silent=True), make_visible(1, is_silent=True))


def warm_ones_judged(router):
    """A judgement alone must not cause a reset."""
    router.handle(BalancersCounted(109), START)
    judgement = Judgement(JudgedState.UNRESPONSIVE, 100)
    judged = msgspec.structs.replace(make_visible(0), judgement=judgement)
    show(router, judged, make_visible(1, COLD_UNTIL), make_visible(4, COLD_UNTIL))


def one_small_data_centre(router):
    show(router, make_visible(0, slots=1), make_visible(1, slots=9), make_visible(2, slots=5))


@pytest.mark.parametrize(
    "prepare",
    [
        spread_over_data_centres,
        everything_at_once,
        all_cold,
        only_silent,
        warm_ones_judged,
        one_small_data_centre,
    ],
)
def test_openings_go_where_the_explanation_says(prepare):
    """Guards against an explanation that describes another decision than the one that is made."""
    balancing = BalancingSettings(shared_observations=True)
    router = make_router(cold_start_limits=LIMITS, balancing=balancing)
    prepare(router)
    explained = explain_opening(router, ADDRESS, None, START).services[0]
    chosen: Counter[str] = Counter()
    chooser, candidates = router.chooser, router.index.candidates[SERVICE]
    for _ in range(OPENINGS):
        cold_starts = copy.copy(chooser.cold_starts)
        cold_starts.next_flow_at = dict(cold_starts.next_flow_at)
        chooser.cold_starts, saved = cold_starts, chooser.cold_starts
        choice = chooser.choose(candidates, router.index.data_centres, START)
        chooser.cold_starts = saved
        chosen[choice.announcement.upstream] += 1
    for item in explained.upstreams:
        share = chosen[item.upstream] / OPENINGS
        assert item.probability == pytest.approx(share, abs=TOLERANCE), item.upstream
        assert bool(item.probability) == bool(chosen[item.upstream])
    assert sum(item.probability for item in explained.upstreams) == pytest.approx(1.0)


def test_an_explanation_changes_nothing():
    """Guards against a question that moves flows, ends a suspicion or uses up a share."""
    router, asked = make_router(cold_start_limits=LIMITS), make_router(cold_start_limits=LIMITS)
    for each in (router, asked):
        everything_at_once(each)
    before = asked.dump()
    explain_opening(asked, ADDRESS, FlowKey(b"f"), at(0.1))
    assert asked.dump() == before
    keys = [b"%d" % number for number in range(50)]
    assert [asked.route(opening(key), START) for key in keys] == [
        router.route(opening(key), START) for key in keys
    ]


def test_each_upstream_that_is_left_out_has_its_reason():
    router = make_router(cold_start_limits=LIMITS)
    everything_at_once(router)
    show(router, make_visible(7, status=AnnouncedStatus.GONE))
    explained = explain_opening(router, ADDRESS, None, START)
    reasons = {item.upstream: item.excluded_by for item in explained.services[0].upstreams}
    assert reasons[NAMES[1]] is reasons[NAMES[5]] is Exclusion.EVACUATED
    assert reasons[NAMES[2]] is Exclusion.COLD
    assert reasons[NAMES[3]] is Exclusion.DRAINING
    assert reasons[NAMES[4]] is Exclusion.SUSPECTED
    assert reasons[NAMES[7]] is Exclusion.GONE
    assert reasons[NAMES[0]] is None
    assert explained.evacuated == (DATA_CENTRES[1],)


def test_openings_that_are_not_forwarded_have_their_reason():
    empty = CookieRouter(CookieSettings(), DATA_CENTRES[0], Random(0), START)
    assert explain_opening(empty, ADDRESS, None, START).refusal is DropReason.NOT_CONFIGURED
    router = make_router(cold_start_limits=LIMITS)
    assert explain_opening(router, Address("1:1"), None, START).refusal is ResetReason.NO_ROUTE
    services = explain_opening(router, ADDRESS, None, START).services
    assert services[0].reset is ResetReason.NO_UPSTREAM
    show(router, make_visible(0))
    evacuate(router, DATA_CENTRES[0])
    services = explain_opening(router, ADDRESS, None, START).services
    assert services[0].reset is ResetReason.EVACUATED
    evacuate(make_router(), DATA_CENTRES[0])
    cold = make_router(cold_start_limits=LIMITS)
    show(cold, make_visible(0, COLD_UNTIL))
    services = explain_opening(cold, ADDRESS, None, START).services
    assert services[0].reset is ResetReason.COLD_UPSTREAMS


def test_a_known_client_selects_the_service_of_a_split_route():
    router = make_router()
    document = routing()
    targets = (WeightedService(SERVICE, 3), WeightedService(ServiceId("other"), 1))
    route = msgspec.structs.replace(document.routes[0], targets=targets)
    document = msgspec.structs.replace(document, version=9, routes=(route,))
    router.handle(RoutingApplied(document), START)
    anyone = explain_opening(router, ADDRESS, None, START)
    assert {item.service: item.probability for item in anyone.services} == {
        SERVICE: 0.75,
        "other": 0.25,
    }
    for number in range(20):
        flow = FlowKey(b"%d" % number)
        first = explain_opening(router, ADDRESS, flow, START).services[0]
        show(router, make_visible(0))
        decision = router.route(opening(flow), START)
        assert isinstance(decision, ForwardPacket) == (first.service == SERVICE)


def test_an_explanation_is_json_compatible():
    router = make_router(cold_start_limits=LIMITS)
    everything_at_once(router)
    described = json.loads(
        json.dumps(describe_opening(explain_opening(router, ADDRESS, None, START)))
    )
    assert described["evacuated"] == [DATA_CENTRES[1]]
    reasons = (Exclusion.EVACUATED, Exclusion.COLD, Exclusion.DRAINING, Exclusion.SUSPECTED)
    excluded = {item["excluded_by"] for item in described["services"][0]["upstreams"]}
    assert excluded == {None, *(item.value for item in reasons)}
