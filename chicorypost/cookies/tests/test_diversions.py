"""Requests that are turned away from an upstream that is judged unresponsive."""

from random import Random

import msgspec
import pytest

from chicorypost.announcements import (
    JudgedState,
    Judgement,
    RoutingApplied,
    VisibleUpstreamsChanged,
)
from chicorypost.base import Address, FlowKey, Instant, Tick
from chicorypost.cookies import (
    BalancingSettings,
    CookieSettings,
    FlowEnds,
    ForwardPacket,
    RepeatingRouter,
    ResetFlow,
    ResetReason,
)
from chicorypost.cookies._diversions import MIN_JUDGEMENT_SECONDS, REMEMBERED_SECONDS
from chicorypost.cookies.tests.test_router import (
    ADDRESS,
    NAMES,
    cookie_of,
    document,
    following,
    make_visible,
    opening,
)
from chicorypost.routing import Retryability

HUNG = NAMES[0]
START = Instant(100.0)
DIVERTED = ResetFlow(ResetReason.UPSTREAM_UNRESPONSIVE)
ENABLED = BalancingSettings(shared_observations=True, repeat_share=0.2)


def at(seconds):
    return Instant(START + seconds)


def read_ends(flow):
    return FlowEnds(ADDRESS, flow.hex())


def make_router(balancing=ENABLED, retryability=Retryability.IDEMPOTENT):
    router = RepeatingRouter(
        CookieSettings(), "a", Random(0), START, balancing, None, read_ends  # type: ignore[arg-type]
    )
    routing = document()
    route = msgspec.structs.replace(routing.routes[0], retryability=retryability)
    router.handle(RoutingApplied(msgspec.structs.replace(routing, routes=(route,))), START)
    router.handle(VisibleUpstreamsChanged(tuple(make_visible(name) for name in NAMES)), START)
    router.repeats.tokens = 2.0
    return router


def judge(router, seconds, name=HUNG, state: JudgedState | None = JudgedState.UNRESPONSIVE):
    judgement = Judgement(state, 100) if state is not None else None
    item = msgspec.structs.replace(make_visible(name), judgement=judgement)
    router.handle(VisibleUpstreamsChanged((item,)), at(seconds))


def open_flow(router, flow=b"f", name=HUNG, seconds=0.0):
    """Open a flow at an upstream and have its first request answered."""
    router.tracker.record_opening(FlowKey(flow), name, at(seconds))
    router.route(following(flow, cookie_of(name), 1, data=100), at(seconds))
    router.route(following(flow, cookie_of(name), 500), at(seconds + 0.02))


def send_request(router, seconds, flow=b"f", name=HUNG, ack_number=500):
    return router.route(following(flow, cookie_of(name), ack_number, data=100), at(seconds))


JUDGED_AT = 2.0
LATER = JUDGED_AT + MIN_JUDGEMENT_SECONDS


def test_a_new_request_on_an_open_flow_is_turned_away_from_a_judged_upstream():
    """Pattern: an upstream hangs for seconds; callers on long flows waited for their deadline."""
    router = make_router()
    open_flow(router)
    judge(router, JUDGED_AT)
    assert send_request(router, LATER) == DIVERTED
    assert router.count_packets()["reset-upstream-unresponsive"] == 1
    assert router.repeats.tokens == pytest.approx(1.0)
    assert HUNG not in {router.route(opening(b"%d" % n), at(LATER)).upstream for n in range(50)}


def test_a_lost_reset_is_repeated_without_more_budget():
    router = make_router()
    open_flow(router)
    judge(router, JUDGED_AT)
    router.repeats.tokens = 1.0
    assert send_request(router, LATER) == send_request(router, LATER + 0.2) == DIVERTED
    router.handle(Tick(), at(LATER + REMEMBERED_SECONDS + 0.1))
    assert not router.diversions.diverted_at


def test_a_flow_key_that_is_used_again_is_not_reset_for_its_previous_flow():
    router = make_router()
    open_flow(router)
    judge(router, JUDGED_AT)
    assert send_request(router, LATER) == DIVERTED
    chosen = router.route(opening(b"f"), at(LATER + 1.0))
    packet = following(b"f", chosen.cookie, 1, data=100)
    assert isinstance(router.route(packet, at(LATER + 1.01)), ForwardPacket)


@pytest.mark.parametrize(
    ("seconds", "prepare", "refusal"),
    [
        (JUDGED_AT + 0.4, None, "just-judged"),
        (LATER, "answer", "upstream-answers"),
        (LATER, "running", "request-running"),
        (LATER, "overtaken", "request-running"),
        (LATER, "unknown", "unknown-flow"),
        (LATER, "all judged", "no-alternative"),
        (LATER, "others busy", "no-alternative"),
        (LATER, "no budget", "no-budget"),
    ],
)
def test_a_request_is_forwarded_unless_all_the_evidence_holds(seconds, prepare, refusal):
    """Guards against resets of flows whose upstream works, and beyond the operator's limit."""
    router = make_router()
    open_flow(router)
    open_flow(router, b"other")
    if prepare == "running":
        send_request(router, 0.1)
    judge(router, JUDGED_AT)
    ack_number = 400 if prepare == "overtaken" else 500
    flow = b"f"
    match prepare:
        case "answer":
            send_request(router, LATER - 0.6, b"other")
            router.diversions.diverted_at.clear()
            router.tracker.response_times.upstreams[HUNG].answered_at = at(LATER - 0.2)
            router.tracker.response_times.upstreams[HUNG].running.clear()
        case "unknown":
            flow = b"unknown"
        case "all judged":
            for name in NAMES[1:]:
                judge(router, JUDGED_AT, name)
        case "others busy":
            for name in NAMES[1:]:
                router.tracker.get_load(name).busy_flows = 100
        case "no budget":
            router.repeats.tokens = 0.9
    assert isinstance(send_request(router, seconds, flow, ack_number=ack_number), ForwardPacket)
    assert router.count_packets()[f"not-diverted-{refusal}"] >= 1


@pytest.mark.parametrize("retryability", [Retryability.NON_IDEMPOTENT, Retryability.UPLOAD])
def test_requests_that_run_once_at_most_are_never_turned_away(retryability):
    router = make_router(retryability=retryability)
    open_flow(router)
    judge(router, JUDGED_AT)
    assert isinstance(send_request(router, LATER), ForwardPacket)


@pytest.mark.parametrize("state", [None, JudgedState.SLOW])
def test_flows_stay_when_the_judgement_ends_or_is_another_one(state):
    router = make_router()
    open_flow(router)
    judge(router, JUDGED_AT)
    judge(router, LATER, state=state)
    assert isinstance(send_request(router, LATER + 0.1), ForwardPacket)


def test_a_restarted_upstream_keeps_its_new_flows():
    router = make_router()
    judge(router, JUDGED_AT)
    item = make_visible(HUNG, started_at_ms=2000)
    router.handle(VisibleUpstreamsChanged((item,)), at(LATER))
    open_flow(router, seconds=LATER)
    assert isinstance(send_request(router, LATER + 0.1), ForwardPacket)


def test_without_shared_observations_nothing_is_turned_away():
    router = make_router(BalancingSettings(repeat_share=0.2))
    open_flow(router)
    judge(router, JUDGED_AT)
    assert isinstance(send_request(router, LATER), ForwardPacket)


def test_closing_packets_and_acknowledgements_are_forwarded():
    """A client that closes its flow needs no reset."""
    router = make_router()
    open_flow(router)
    judge(router, JUDGED_AT)
    for packet in (
        following(b"f", cookie_of(HUNG), 500),
        following(b"f", cookie_of(HUNG), 500, data=10, ends_flow=True),
    ):
        assert isinstance(router.route(packet, at(LATER)), ForwardPacket)


def test_a_route_that_is_gone_keeps_its_open_flows():
    router = make_router()
    open_flow(router)
    judge(router, JUDGED_AT)
    router.read_ends = lambda flow: FlowEnds(Address("9:9"), flow.hex())
    assert isinstance(send_request(router, LATER), ForwardPacket)
