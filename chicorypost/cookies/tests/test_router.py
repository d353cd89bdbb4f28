"""Decisions of the cookie router for single packets."""

from random import Random

import msgspec
import pytest

from chicorypost.announcements import (
    AnnouncedStatus,
    RoutingApplied,
    VisibleUpstream,
    VisibleUpstreamsChanged,
)
from chicorypost.announcements.tests.test_table import announce
from chicorypost.base import (
    Address,
    DataCentreId,
    FlowKey,
    Instant,
    ServiceId,
    Tick,
    UpstreamId,
    Version,
)
from chicorypost.cookies import (
    CookiePacket,
    CookieRouter,
    CookieSettings,
    DropPacket,
    DropReason,
    ForwardPacket,
    ResetFlow,
    ResetReason,
    make_cookie,
)
from chicorypost.routing import (
    Retryability,
    Route,
    RoutingDocument,
    ServiceSpec,
    WeightedService,
)

SETTINGS = CookieSettings()
BALANCER_DATA_CENTRE = DataCentreId("a")
ADDRESS = Address("1:80")
SERVICE = ServiceId("orders")
NAMES = [UpstreamId(f"i-{number}") for number in (1, 2, 3)]
START = Instant(100.0)


def document(version=1, targets=((SERVICE, 1),)):
    shares = tuple(WeightedService(name, weight) for name, weight in targets)
    route = Route("r", ADDRESS, shares, Retryability.IDEMPOTENT, 1000, 100, 1)
    services = tuple(ServiceSpec(name, "/", 10) for name, _ in targets)
    return RoutingDocument(Version(version), (route,), services, 15.0)


def make_visible(
    name, status=AnnouncedStatus.READY, is_silent=False, started_at_ms=1000, warmup_ends_at=0.0
):
    host = f"10.0.0.{name[2:]}"
    return VisibleUpstream(
        announce(name, started_at_ms=started_at_ms, host=host, status=status),
        is_silent,
        Instant(warmup_ends_at),
    )


def opening(flow, copies=0, address=ADDRESS):
    return CookiePacket(FlowKey(flow), address, True, False, False, copies, 0, 0)


def following(flow, cookie, ack_number=1, data=0, ends_flow=False, aborts_flow=False):
    return CookiePacket(
        FlowKey(flow), ADDRESS, False, ends_flow, aborts_flow, ack_number, data, cookie
    )


def cookie_of(name):
    return make_cookie(make_visible(name).announcement.endpoint)


@pytest.fixture
def router():
    router = CookieRouter(SETTINGS, BALANCER_DATA_CENTRE, Random(1), START)
    router.handle(RoutingApplied(document()), START)
    router.handle(VisibleUpstreamsChanged(tuple(make_visible(name) for name in NAMES)), START)
    return router


def chosen_by(router, packet):
    decision = router.route(packet, START)
    assert isinstance(decision, ForwardPacket)
    return decision.upstream


def at(seconds):
    return Instant(START + seconds)


def update_upstreams(router, *seen, seconds=0.0):
    """Let the router see these upstreams and no others."""
    removed = set(router.upstreams) - {item.announcement.upstream for item in seen}
    router.handle(VisibleUpstreamsChanged(seen, tuple(removed)), at(seconds))


def test_packets_with_the_cookie_of_an_opening_go_to_the_same_upstream(router):
    opened = router.route(opening(b"f"), START)
    assert isinstance(opened, ForwardPacket) and opened.cookie is not None
    followed = router.route(following(b"f", opened.cookie), START)
    assert isinstance(followed, ForwardPacket)
    assert (followed.upstream, followed.address) == (opened.upstream, opened.address)
    assert followed.cookie is None and followed.token == 0


def test_any_balancer_forwards_a_flow_opened_through_another_balancer(router):
    decision = router.route(following(b"other", cookie_of(NAMES[1]), data=9), START)
    assert isinstance(decision, ForwardPacket) and decision.upstream == NAMES[1]


COPY_TIMES = (0.0, 0.2, 0.6)
"""When clients send an opening and its copies."""


def send_copies(router, flow=b"f", delay=0.0, answer_at=None):
    """Send an opening and its copies at the times of a client; return the chosen upstreams."""
    chosen: list[str] = []
    for copy, seconds in enumerate(COPY_TIMES):
        if answer_at is not None and chosen and COPY_TIMES[copy - 1] <= answer_at < seconds:
            router.route(following(b"other", cookie_of(chosen[0])), at(answer_at))
        chosen.append(chosen_by_at(router, opening(flow, copy), max(seconds, delay)))
    return chosen


def chosen_by_at(router, packet, seconds):
    return router.route(packet, at(seconds)).upstream


def test_copies_of_an_opening_go_to_the_same_upstream(router):
    """The upstream answers other flows, so only packets of this one were lost."""
    for answer_at in (0.1, 0.5):
        flow = b"f%d" % int(10 * answer_at)
        assert len(set(send_copies(router, flow, answer_at=answer_at))) == 1


def test_the_second_copy_goes_to_another_upstream_if_the_first_is_overdue(router):
    """Pattern: many upstreams crash at once, and each balancer sees few of their openings."""
    first, second, third = send_copies(router)
    assert first == second != third
    cookie = cookie_of(third)
    decision = router.route(following(b"f", cookie, data=9), at(0.7))
    assert isinstance(decision, ForwardPacket) and decision.upstream == third
    assert router.tracker.get_load(first).opening_flows == 0


def test_copies_that_come_right_behind_the_opening_stay(router):
    """After a pause the balancer reads the opening and its copies at once."""
    assert len(set(send_copies(router, delay=2.0))) == 1


def test_the_second_copy_stays_if_there_is_no_other_upstream(router):
    update_upstreams(router, make_visible(NAMES[0]))
    assert send_copies(router) == [NAMES[0]] * 3


def test_copies_go_to_the_same_upstream_after_it_starts_draining(router):
    first = router.route(opening(b"f"), START)
    rest = [make_visible(name) for name in NAMES if name != first.upstream]
    update_upstreams(router, make_visible(first.upstream, AnnouncedStatus.DRAINING), *rest)
    assert router.route(opening(b"f", 1), at(0.2)).upstream == first.upstream


def test_a_copy_goes_to_another_upstream_if_the_first_is_gone(router):
    first = router.route(opening(b"f"), START)
    rest = [make_visible(name) for name in NAMES if name != first.upstream]
    update_upstreams(router, make_visible(first.upstream, AnnouncedStatus.GONE), *rest)
    assert router.route(opening(b"f", 1), at(0.2)).upstream != first.upstream


def test_one_unanswered_opening_excludes_the_upstream_for_new_flows_but_not_for_copies(router):
    first = router.route(opening(b"f"), START)
    assert router.route(opening(b"f", 1), at(0.2)).upstream == first.upstream
    chosen = {router.route(opening(bytes([n])), at(0.25)).upstream for n in range(9)}
    assert first.upstream not in chosen


def test_a_suspected_upstream_gets_new_flows_after_its_first_answer(router):
    first = router.route(opening(b"f"), START)
    router.route(opening(b"f", 1), at(0.2))
    router.route(following(b"g", cookie_of(first.upstream)), at(0.3))
    chosen = {router.route(opening(bytes([n])), at(0.35)).upstream for n in range(9)}
    assert first.upstream in chosen


def test_new_flows_are_forwarded_when_all_upstreams_are_suspected(router):
    for name in NAMES:
        for number in range(3):
            router.suspected_upstreams.record_unanswered_opening(name, at(number), at(number + 0.1))
    assert isinstance(router.route(opening(b"f"), at(2.2)), ForwardPacket)


def test_no_new_flow_goes_to_a_draining_upstream(router):
    update_upstreams(
        router, make_visible(NAMES[0], AnnouncedStatus.DRAINING), make_visible(NAMES[1])
    )
    chosen = {router.route(opening(bytes([n])), START).upstream for n in range(9)}
    assert chosen == {NAMES[1]}


def test_silent_upstreams_are_used_only_when_there_is_no_other(router):
    update_upstreams(router, make_visible(NAMES[0], is_silent=True), make_visible(NAMES[1]))
    assert router.route(opening(b"f"), START).upstream == NAMES[1]
    update_upstreams(router, make_visible(NAMES[0], is_silent=True))
    assert router.route(opening(b"g"), START).upstream == NAMES[0]


def test_an_opening_without_route_or_upstream_is_reset(router):
    assert router.route(opening(b"f", address=Address("9:9")), START) == ResetFlow(
        ResetReason.NO_ROUTE
    )
    update_upstreams(router, make_visible(NAMES[0], AnnouncedStatus.DRAINING))
    assert router.route(opening(b"f"), START) == ResetFlow(ResetReason.NO_UPSTREAM)


def test_an_opening_before_the_first_configuration_is_dropped_without_reset():
    router = CookieRouter(SETTINGS, BALANCER_DATA_CENTRE, Random(1), START)
    assert router.route(opening(b"f"), START) == DropPacket(DropReason.NOT_CONFIGURED)


def test_a_cookie_of_no_known_upstream_is_dropped(router):
    assert router.route(following(b"f", 12345), START) == DropPacket(DropReason.UNKNOWN_UPSTREAM)
    assert router.route(following(b"f", 0), START) == DropPacket(DropReason.NO_COOKIE)


def test_flows_of_an_upstream_that_has_left_are_reset_after_a_grace_period(router):
    packet = following(b"f", cookie_of(NAMES[0]), data=5)
    router.route(packet, START)
    update_upstreams(router, make_visible(NAMES[0], AnnouncedStatus.GONE), make_visible(NAMES[1]))
    assert isinstance(router.route(packet, at(0.1)), ForwardPacket)
    assert router.route(packet, at(1.0)) == ResetFlow(ResetReason.UPSTREAM_GONE)
    # The reset may be lost, so that the client retransmits.
    assert router.route(packet, at(1.2)) == ResetFlow(ResetReason.UPSTREAM_GONE)


def test_a_flow_first_seen_after_its_upstream_has_left_is_forwarded(router):
    """Another balancer knew the next run at the address and opened the flow there.

    This balancer had not seen that run yet and reset its flow although the run was alive.
    """
    gone = make_visible(NAMES[0], AnnouncedStatus.GONE)
    update_upstreams(router, gone, make_visible(NAMES[1]))
    packet = following(b"f", cookie_of(NAMES[0]), data=5)
    for seconds in (1.0, 1.2, 5.0):
        assert isinstance(router.route(packet, at(seconds)), ForwardPacket)


def test_the_grace_period_of_a_run_starts_when_that_run_has_left(router):
    """The page with the next run was lost: the balancer saw one run gone and then the next."""
    packet = following(b"f", cookie_of(NAMES[0]), data=5)
    update_upstreams(router, make_visible(NAMES[0], AnnouncedStatus.GONE))
    router.route(packet, at(4.0))
    next_run = make_visible(NAMES[0], AnnouncedStatus.GONE, started_at_ms=2000)
    update_upstreams(router, next_run, seconds=5.0)
    assert isinstance(router.route(packet, at(5.1)), ForwardPacket)
    assert router.route(packet, at(5.6)) == ResetFlow(ResetReason.UPSTREAM_GONE)


def test_an_abort_is_forwarded_and_never_reset(router):
    update_upstreams(router, make_visible(NAMES[0], AnnouncedStatus.GONE))
    aborting = following(b"f", cookie_of(NAMES[0]), ends_flow=True, aborts_flow=True)
    assert isinstance(router.route(aborting, at(9.0)), ForwardPacket)


def test_open_flows_are_forwarded_while_their_upstream_is_silent(router):
    update_upstreams(router, make_visible(NAMES[0], is_silent=True))
    decision = router.route(following(b"f", cookie_of(NAMES[0]), data=5), at(60.0))
    assert isinstance(decision, ForwardPacket)


def test_a_reused_address_belongs_to_the_upstream_that_started_last(router):
    late = VisibleUpstream(announce(NAMES[2], started_at_ms=9000, host="10.0.0.1"), False, START)
    update_upstreams(router, make_visible(NAMES[0], AnnouncedStatus.GONE), late)
    decision = router.route(following(b"f", cookie_of(NAMES[0])), at(5.0))
    assert isinstance(decision, ForwardPacket) and decision.upstream == NAMES[2]


def test_load_follows_requests_and_ends_with_the_flow(router):
    cookie = cookie_of(NAMES[0])
    router.route(following(b"f", cookie, ack_number=1, data=100), START)
    assert router.tracker.get_load(NAMES[0]).busy_flows == 1
    router.route(following(b"f", cookie, ack_number=500), at(0.1))
    assert router.tracker.get_load(NAMES[0]).busy_flows == 0
    router.route(following(b"f", cookie, ack_number=500, ends_flow=True), at(0.2))
    assert router.tracker.get_load(NAMES[0]).flows == 0


def test_flows_that_never_opened_are_removed(router):
    router.route(opening(b"f"), START)
    router.handle(Tick(), at(SETTINGS.opening_seconds + 0.1))
    assert router.tracker.flows == {}


def test_weights_split_new_flows_and_copies_get_the_same_service():
    other = ServiceId("archive")
    router = CookieRouter(SETTINGS, BALANCER_DATA_CENTRE, Random(1), START)
    router.handle(RoutingApplied(document(targets=((SERVICE, 3), (other, 1)))), START)
    call = msgspec.structs.replace(announce(NAMES[1], host="10.0.0.2"), service=other)
    archive = VisibleUpstream(call, False, START)
    router.handle(VisibleUpstreamsChanged((make_visible(NAMES[0]), archive)), START)
    flows = [number.to_bytes(2, "big") for number in range(400)]
    first = [chosen_by(router, opening(flow)) for flow in flows]
    assert 60 < first.count(NAMES[1]) < 140
    assert first == [chosen_by(router, opening(flow, 1)) for flow in flows]


def make_visible_in(name, data_centre, slots=2):
    call = msgspec.structs.replace(
        make_visible(name).announcement, data_centre=DataCentreId(data_centre), slots=slots
    )
    return VisibleUpstream(call, False, START)


def flow_shares(router, count=400):
    chosen = [chosen_by(router, opening(n.to_bytes(2, "big"))) for n in range(count)]
    return {name: chosen.count(name) / count for name in NAMES}


def test_flows_stay_in_the_data_centre_while_its_upstreams_can_carry_them(router):
    update_upstreams(
        router,
        make_visible_in(NAMES[0], "a"),
        make_visible_in(NAMES[1], "b"),
        make_visible_in(NAMES[2], "c"),
    )
    assert flow_shares(router)[NAMES[0]] == 1.0


def test_flows_beyond_the_capacity_of_the_data_centre_go_to_one_with_spare_slots(router):
    update_upstreams(
        router,
        make_visible_in(NAMES[0], "a", 1),
        make_visible_in(NAMES[1], "b", 2),
        make_visible_in(NAMES[2], "c", 3),
    )
    measured = flow_shares(router)
    assert 0.42 < measured[NAMES[0]] < 0.58
    assert measured[NAMES[1]] == 0.0


def test_a_slow_upstream_sends_flows_of_its_data_centre_to_others(router):
    """Pattern: one of the two upstreams of a data centre turns slow.

    The other one got all flows of the data centre, which was taken to have all its slots.
    """
    names = [*NAMES, UpstreamId("i-4")]
    seen = [make_visible_in(name, place) for name, place in zip(names, "aabb", strict=True)]
    update_upstreams(router, *seen)
    for name in names:
        for number in range(10):
            seconds = 0.5 if name == NAMES[0] else 0.05
            cookie = cookie_of(name)
            flow = b"%d" % number + name.encode()
            router.route(following(flow, cookie, 1, data=100), at(0.0))
            router.route(following(flow, cookie, 500, ends_flow=True), at(seconds))
    effects = router.handle(Tick(), at(1.0))
    assert [effect.spec.name for effect in effects] == ["upstream-slow"]
    assert router.dump()["slowness"] == {NAMES[0]: pytest.approx(5.0, rel=0.1)}
    measured = flow_shares(router)
    assert measured[NAMES[0]] < 0.15
    # It has 2.4 slots in place of 4, a fair share of all 6.4 is 3.2.
    assert 0.65 < measured[NAMES[0]] + measured[NAMES[1]] < 0.85


def test_a_data_centre_without_upstreams_uses_the_other_data_centres(router):
    update_upstreams(router, make_visible_in(NAMES[1], "b"), make_visible_in(NAMES[2], "c"))
    measured = flow_shares(router)
    assert measured[NAMES[1]] > 0.4 and measured[NAMES[2]] > 0.4


def leave_unanswered(router, flow, seconds=0.0):
    """Leave an opening unanswered; return its upstream."""
    first = router.route(opening(flow), at(seconds))
    router.route(opening(flow, copies=1), at(seconds + 0.2))
    return first.upstream


def test_a_service_is_unreachable_when_all_upstreams_are_silent_or_unresponsive(router):
    update_upstreams(router, make_visible(NAMES[0]), make_visible(NAMES[1]))
    first = leave_unanswered(router, b"f")
    assert router.find_unreachable_service() is None
    second = leave_unanswered(router, b"g", seconds=0.3)
    assert {first, second} == set(NAMES[:2])
    assert router.find_unreachable_service() == SERVICE
    update_upstreams(
        router, make_visible(NAMES[0]), make_visible(NAMES[1]), make_visible(NAMES[2]), seconds=1.0
    )
    assert router.find_unreachable_service() is None
    update_upstreams(
        router,
        make_visible(NAMES[0]),
        make_visible(NAMES[1]),
        make_visible(NAMES[2], is_silent=True),
        seconds=1.0,
    )
    assert router.find_unreachable_service() == SERVICE


def test_retransmissions_to_a_dead_upstream_do_not_count_as_answers(router):
    update_upstreams(router, make_visible(NAMES[0]))
    router.route(opening(b"f"), at(0.0))
    router.route(opening(b"f", copies=1), at(0.2))
    assert router.suspected_upstreams.is_unresponsive(NAMES[0])
    for seconds in (0.3, 0.5, 0.9):
        router.route(following(b"before", cookie_of(NAMES[0]), ends_flow=True), at(seconds))
        router.route(following(b"before", cookie_of(NAMES[0]), data=500), at(seconds))
    assert router.suspected_upstreams.is_unresponsive(NAMES[0])
    assert router.find_unreachable_service() == SERVICE


def test_an_answer_to_the_unanswered_opening_makes_the_upstream_responsive(router):
    update_upstreams(router, make_visible(NAMES[0]))
    router.route(opening(b"f"), at(0.0))
    router.route(opening(b"f", copies=1), at(0.2))
    router.route(following(b"f", cookie_of(NAMES[0])), at(0.3))
    assert not router.suspected_upstreams.is_unresponsive(NAMES[0])
    assert router.find_unreachable_service() is None


def test_packets_after_the_close_of_a_flow_add_no_load(router):
    first = router.route(opening(b"f"), START)
    cookie = cookie_of(first.upstream)
    router.route(following(b"f", cookie, ends_flow=True), at(0.1))
    router.route(following(b"f", cookie), at(0.2))
    assert router.tracker.get_load(first.upstream).flows == 0
    router.route(opening(b"f"), at(0.3))
    assert sum(load.flows for load in router.tracker.loads.values()) == 1
    router.route(following(b"g", cookie, ends_flow=True), at(0.4))
    router.handle(Tick(), at(60.0))
    assert not router.tracker.closed_at
