"""Decisions of the cookie router, packet by packet."""

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
HERE = DataCentreId("a")
ADDRESS = Address("1:80")
SERVICE = ServiceId("orders")
NAMES = [UpstreamId(f"i-{number}") for number in (1, 2, 3)]
START = Instant(100.0)


def document(version=1, targets=((SERVICE, 1),)):
    shares = tuple(WeightedService(name, weight) for name, weight in targets)
    route = Route("r", ADDRESS, shares, Retryability.IDEMPOTENT, 1000, 100, 1)
    services = tuple(ServiceSpec(name, "/", 10) for name, _ in targets)
    return RoutingDocument(Version(version), (route,), services, 15.0)


def see(name, standing=AnnouncedStatus.READY, silent=False, born=1000, warm_at=0.0):
    host = f"10.0.0.{name[2:]}"
    return VisibleUpstream(
        announce(name, born=born, host=host, standing=standing), silent, Instant(warm_at)
    )


def opening(flow, copies=0, address=ADDRESS):
    return CookiePacket(FlowKey(flow), address, True, False, False, copies, 0, 0)


def following(flow, cookie, acknowledged=1, data=0, ends=False, aborts=False):
    return CookiePacket(FlowKey(flow), ADDRESS, False, ends, aborts, acknowledged, data, cookie)


def cookie_of(name):
    return make_cookie(see(name).announcement.endpoint)


@pytest.fixture
def router():
    router = CookieRouter(SETTINGS, HERE, Random(1), START)
    router.handle(RoutingApplied(document()), START)
    router.handle(VisibleUpstreamsChanged(tuple(see(name) for name in NAMES)), START)
    return router


def chosen_by(router, packet):
    decision = router.route(packet, START)
    assert isinstance(decision, ForwardPacket)
    return decision.upstream


def at(seconds):
    return Instant(START + seconds)


def show(router, *seen, seconds=0.0):
    router.handle(VisibleUpstreamsChanged(seen), at(seconds))


def test_an_opening_gets_a_cookie_that_leads_the_flow_to_the_same_upstream(router):
    opened = router.route(opening(b"f"), START)
    assert isinstance(opened, ForwardPacket) and opened.cookie is not None
    followed = router.route(following(b"f", opened.cookie), START)
    assert isinstance(followed, ForwardPacket)
    assert (followed.upstream, followed.address) == (opened.upstream, opened.address)
    assert followed.cookie is None and followed.token == 0


def test_any_balancer_forwards_a_flow_that_another_one_opened(router):
    decision = router.route(following(b"other", cookie_of(NAMES[1]), data=9), START)
    assert isinstance(decision, ForwardPacket) and decision.upstream == NAMES[1]


def test_copies_of_an_opening_go_to_the_same_upstream(router):
    chosen = {router.route(opening(b"f", copy), at(0.2 * copy)).upstream for copy in range(3)}
    assert len(chosen) == 1


def test_copies_stay_when_the_upstream_has_begun_to_drain(router):
    first = router.route(opening(b"f"), START)
    rest = [see(name) for name in NAMES if name != first.upstream]
    show(router, see(first.upstream, AnnouncedStatus.DRAINING), *rest)
    assert router.route(opening(b"f", 1), at(0.2)).upstream == first.upstream


def test_a_copy_leaves_an_upstream_that_has_gone(router):
    first = router.route(opening(b"f"), START)
    rest = [see(name) for name in NAMES if name != first.upstream]
    show(router, see(first.upstream, AnnouncedStatus.GONE), *rest)
    assert router.route(opening(b"f", 1), at(0.2)).upstream != first.upstream


def test_one_lost_opening_moves_no_copy_but_keeps_new_flows_away(router):
    first = router.route(opening(b"f"), START)
    assert router.route(opening(b"f", 1), at(0.2)).upstream == first.upstream
    chosen = {router.route(opening(bytes([n])), at(0.25)).upstream for n in range(9)}
    assert first.upstream not in chosen


def test_a_suspected_upstream_returns_with_its_first_answer(router):
    first = router.route(opening(b"f"), START)
    router.route(opening(b"f", 1), at(0.2))
    router.route(following(b"g", cookie_of(first.upstream)), at(0.3))
    chosen = {router.route(opening(bytes([n])), at(0.35)).upstream for n in range(9)}
    assert first.upstream in chosen


def test_suspicion_never_empties_a_service(router):
    for name in NAMES:
        for number in range(3):
            router.suspects.unanswered(name, at(number), at(number + 0.1))
    assert isinstance(router.route(opening(b"f"), at(2.2)), ForwardPacket)


def test_no_new_flow_goes_to_a_draining_upstream(router):
    show(router, see(NAMES[0], AnnouncedStatus.DRAINING), see(NAMES[1]))
    chosen = {router.route(opening(bytes([n])), START).upstream for n in range(9)}
    assert chosen == {NAMES[1]}


def test_silent_upstreams_are_used_only_when_there_is_no_other(router):
    show(router, see(NAMES[0], silent=True), see(NAMES[1]))
    assert router.route(opening(b"f"), START).upstream == NAMES[1]
    show(router, see(NAMES[0], silent=True))
    assert router.route(opening(b"g"), START).upstream == NAMES[0]


def test_what_cannot_be_served_is_refused_at_once(router):
    assert router.route(opening(b"f", address=Address("9:9")), START) == ResetFlow(
        ResetReason.NO_ROUTE
    )
    show(router, see(NAMES[0], AnnouncedStatus.DRAINING))
    assert router.route(opening(b"f"), START) == ResetFlow(ResetReason.NO_UPSTREAM)


def test_without_a_configuration_nothing_is_refused():
    router = CookieRouter(SETTINGS, HERE, Random(1), START)
    assert router.route(opening(b"f"), START) == DropPacket(DropReason.NOT_CONFIGURED)


def test_a_client_cannot_name_an_address_that_no_upstream_has(router):
    assert router.route(following(b"f", 12345), START) == DropPacket(DropReason.UNKNOWN_UPSTREAM)
    assert router.route(following(b"f", 0), START) == DropPacket(DropReason.NO_COOKIE)


def test_flows_of_an_upstream_that_has_left_are_reset_after_a_grace(router):
    show(router, see(NAMES[0], AnnouncedStatus.GONE), see(NAMES[1]))
    packet = following(b"f", cookie_of(NAMES[0]), data=5)
    assert isinstance(router.route(packet, at(0.1)), ForwardPacket)
    assert router.route(packet, at(1.0)) == ResetFlow(ResetReason.UPSTREAM_GONE)


def test_an_abort_is_never_answered(router):
    show(router, see(NAMES[0], AnnouncedStatus.GONE))
    aborting = following(b"f", cookie_of(NAMES[0]), ends=True, aborts=True)
    assert isinstance(router.route(aborting, at(9.0)), ForwardPacket)


def test_open_flows_go_on_while_their_upstream_is_silent(router):
    show(router, see(NAMES[0], silent=True))
    decision = router.route(following(b"f", cookie_of(NAMES[0]), data=5), at(60.0))
    assert isinstance(decision, ForwardPacket)


def test_an_address_that_was_used_again_belongs_to_the_later_run(router):
    late = VisibleUpstream(announce(NAMES[2], born=9000, host="10.0.0.1"), False, START)
    show(router, see(NAMES[0], AnnouncedStatus.GONE), late)
    decision = router.route(following(b"f", cookie_of(NAMES[0])), at(5.0))
    assert isinstance(decision, ForwardPacket) and decision.upstream == NAMES[2]


def test_load_follows_requests_and_ends_with_the_flow(router):
    cookie = cookie_of(NAMES[0])
    router.route(following(b"f", cookie, acknowledged=1, data=100), START)
    assert router.tracker.load(NAMES[0]).busy == 1
    router.route(following(b"f", cookie, acknowledged=500), at(0.1))
    assert router.tracker.load(NAMES[0]).busy == 0
    router.route(following(b"f", cookie, acknowledged=500, ends=True), at(0.2))
    assert router.tracker.load(NAMES[0]).flows == 0


def test_flows_that_never_opened_are_forgotten(router):
    router.route(opening(b"f"), START)
    router.handle(Tick(), at(SETTINGS.opening_seconds + 0.1))
    assert router.tracker.flows == {}


def test_weights_split_new_flows_and_copies_agree():
    other = ServiceId("archive")
    router = CookieRouter(SETTINGS, HERE, Random(1), START)
    router.handle(RoutingApplied(document(targets=((SERVICE, 3), (other, 1)))), START)
    call = msgspec.structs.replace(announce(NAMES[1], host="10.0.0.2"), service=other)
    archive = VisibleUpstream(call, False, START)
    router.handle(VisibleUpstreamsChanged((see(NAMES[0]), archive)), START)
    flows = [number.to_bytes(2, "big") for number in range(400)]
    first = [chosen_by(router, opening(flow)) for flow in flows]
    assert 60 < first.count(NAMES[1]) < 140
    assert first == [chosen_by(router, opening(flow, 1)) for flow in flows]


def place(name, data_centre, slots=2):
    call = msgspec.structs.replace(
        see(name).announcement, data_centre=DataCentreId(data_centre), slots=slots
    )
    return VisibleUpstream(call, False, START)


def shares(router, count=400):
    chosen = [chosen_by(router, opening(n.to_bytes(2, "big"))) for n in range(count)]
    return {name: chosen.count(name) / count for name in NAMES}


def test_flows_stay_in_the_data_centre_while_its_upstreams_can_carry_them(router):
    show(router, place(NAMES[0], "a"), place(NAMES[1], "b"), place(NAMES[2], "c"))
    assert shares(router)[NAMES[0]] == 1.0


def test_what_the_own_data_centre_cannot_carry_goes_where_there_is_room(router):
    show(router, place(NAMES[0], "a", 1), place(NAMES[1], "b", 2), place(NAMES[2], "c", 3))
    found = shares(router)
    assert 0.42 < found[NAMES[0]] < 0.58
    assert found[NAMES[1]] == 0.0


def test_without_upstreams_of_its_own_a_data_centre_uses_the_others(router):
    show(router, place(NAMES[1], "b"), place(NAMES[2], "c"))
    found = shares(router)
    assert found[NAMES[1]] > 0.4 and found[NAMES[2]] > 0.4


def doubt(router, flow, seconds=0.0):
    """Let an opening stay unanswered; return the upstream that got it."""
    first = router.route(opening(flow), at(seconds))
    router.route(opening(flow, copies=1), at(seconds + 0.2))
    return first.upstream


def test_a_service_is_unreachable_when_no_upstream_answers_or_is_heard(router):
    show(router, see(NAMES[0]), see(NAMES[1]))
    first = doubt(router, b"f")
    assert router.find_unreachable() is None
    second = doubt(router, b"g", seconds=0.3)
    assert {first, second} == set(NAMES[:2])
    assert router.find_unreachable() == SERVICE
    show(router, see(NAMES[0]), see(NAMES[1]), see(NAMES[2]), seconds=1.0)
    assert router.find_unreachable() is None
    show(router, see(NAMES[0]), see(NAMES[1]), see(NAMES[2], silent=True), seconds=1.0)
    assert router.find_unreachable() == SERVICE


def test_what_a_client_repeats_to_a_dead_upstream_is_no_answer(router):
    show(router, see(NAMES[0]))
    router.route(opening(b"f"), at(0.0))
    router.route(opening(b"f", copies=1), at(0.2))
    assert router.suspects.is_doubted(NAMES[0])
    for seconds in (0.3, 0.5, 0.9):
        router.route(following(b"before", cookie_of(NAMES[0]), ends=True), at(seconds))
        router.route(following(b"before", cookie_of(NAMES[0]), data=500), at(seconds))
    assert router.suspects.is_doubted(NAMES[0])
    assert router.find_unreachable() == SERVICE


def test_an_answer_to_an_opening_of_its_own_ends_the_doubt(router):
    show(router, see(NAMES[0]))
    router.route(opening(b"f"), at(0.0))
    router.route(opening(b"f", copies=1), at(0.2))
    router.route(following(b"f", cookie_of(NAMES[0])), at(0.3))
    assert not router.suspects.is_doubted(NAMES[0])
    assert router.find_unreachable() is None


def test_packets_after_the_end_of_a_flow_are_no_load(router):
    first = router.route(opening(b"f"), START)
    cookie = cookie_of(first.upstream)
    router.route(following(b"f", cookie, ends=True), at(0.1))
    router.route(following(b"f", cookie), at(0.2))
    assert router.tracker.load(first.upstream).flows == 0
    router.route(opening(b"f"), at(0.3))
    assert sum(load.flows for load in router.tracker.loads.values()) == 1
    router.route(following(b"g", cookie, ends=True), at(0.4))
    router.handle(Tick(), at(60.0))
    assert not router.tracker.closed
