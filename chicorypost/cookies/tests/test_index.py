"""The index of upstreams: updates by difference, and upstreams that share a cookie."""

import msgspec
import pytest

from chicorypost.announcements import AnnouncedStatus, VisibleUpstream, VisibleUpstreamsChanged
from chicorypost.announcements.tests.test_table import announce
from chicorypost.base import DataCentreId, ServiceId, UpstreamId
from chicorypost.cookies import ForwardPacket, ResetFlow, ResetReason
from chicorypost.cookies._index import UpstreamIndex, make_cookie
from chicorypost.cookies.tests.test_router import (
    NAMES,
    START,
    at,
    chosen_by,
    cookie_of,
    following,
    make_visible,
    make_visible_in,
    opening,
    router,
    update_upstreams,
)

__all__ = ["router"]

SAME_COOKIE_HOSTS = ("10.0.93.208", "10.0.22.158")
"""Two addresses whose endpoints have the same cookie."""


CLAIMANT = UpstreamId("i-9")


def make_twin(number, started_at_ms=1000, status=AnnouncedStatus.READY):
    """Return one of two upstreams with the same cookie."""
    call = announce(
        UpstreamId(f"twin-{number}"),
        started_at_ms=started_at_ms,
        host=SAME_COOKIE_HOSTS[number],
        status=status,
    )
    return VisibleUpstream(call, False, START)


def twin_cookie():
    cookies = {make_cookie(make_twin(number).announcement.endpoint) for number in (0, 1)}
    assert len(cookies) == 1
    return cookies.pop()


def choose_many(router, count=40):
    """Open flows that the router doesn't know yet and return their upstreams."""
    first = router.counters["opened"]
    return {chosen_by(router, opening(b"%d" % (first + number))) for number in range(count)}


def change_upstream(router, *changed, removed=(), seconds=0.0):
    router.handle(VisibleUpstreamsChanged(changed, removed), at(seconds))


def test_a_change_of_one_upstream_leaves_the_others_in_use(router):
    change_upstream(router, make_visible(NAMES[0], AnnouncedStatus.DRAINING))
    assert choose_many(router) == {NAMES[1], NAMES[2]}
    assert router.route(following(b"f", cookie_of(NAMES[0])), START).upstream == NAMES[0]
    change_upstream(router, removed=(NAMES[1],))
    assert choose_many(router) == {NAMES[2]}
    change_upstream(router, make_visible(NAMES[0]))
    assert NAMES[0] in choose_many(router)


def test_an_upstream_that_changes_service_and_data_centre_is_moved():
    index = UpstreamIndex()
    before = make_visible(NAMES[0])
    call = msgspec.structs.replace(
        before.announcement,
        service=ServiceId("archive"),
        data_centre=DataCentreId("b"),
        started_at_ms=2000,
    )
    index.update([before], [])
    index.update([VisibleUpstream(call, False, START)], [])
    assert list(index.candidates) == [ServiceId("archive")]
    assert index.candidates[ServiceId("archive")].slots == {"b": call.slots}
    assert index.data_centres == 1


def test_updates_in_any_order_leave_nothing_behind():
    index = UpstreamIndex()
    items = [make_visible(name, is_silent=name == NAMES[1]) for name in NAMES]
    index.update([*items, make_twin(0), make_twin(1, 2000)], [])
    names = [*NAMES, UpstreamId("twin-1"), UpstreamId("twin-0"), UpstreamId("unknown")]
    index.update([], names)
    assert not any(
        (
            index.upstreams,
            index.candidates,
            index.decision_by_cookie,
            index.users_by_cookie,
            index.upstream_counts,
            index.left_out,
        )
    )


@pytest.mark.parametrize("order", [(0, 1), (1, 0)])
def test_of_two_upstreams_with_one_cookie_only_the_earlier_gets_flows(router, order):
    """Flows of one would be forwarded to the other, perhaps of another service."""
    twins = (make_twin(0), make_twin(1, started_at_ms=2000))
    update_upstreams(router)
    for number in order:
        change_upstream(router, twins[number])
    assert choose_many(router) == {"twin-0"}
    for status in (AnnouncedStatus.DRAINING, AnnouncedStatus.GONE):
        change_upstream(router, make_twin(0, status=status))
        decision = router.route(following(b"f", twin_cookie()), START)
        assert isinstance(decision, ForwardPacket) and decision.upstream == "twin-0"
        assert router.route(opening(b"g"), START) == ResetFlow(ResetReason.NO_UPSTREAM)


def test_the_later_upstream_is_used_once_the_earlier_is_forgotten_or_has_restarted(router):
    update_upstreams(router, make_twin(0), make_twin(1, started_at_ms=2000))
    change_upstream(router, make_twin(0, started_at_ms=3000))
    assert choose_many(router) == {"twin-1"}
    assert router.route(following(b"f", twin_cookie()), START).upstream == "twin-1"
    change_upstream(router, removed=(UpstreamId("twin-0"),))
    assert choose_many(router) == {"twin-1"}
    assert router.index.left_out == set()


def make_claimant(started_at_ms, is_silent=False, status=AnnouncedStatus.READY):
    """Return an upstream of another service at the address of the first upstream of the router."""
    call = announce(CLAIMANT, started_at_ms=started_at_ms, host="10.0.0.1", status=status)
    archive = msgspec.structs.replace(call, service=ServiceId("archive"))
    return VisibleUpstream(archive, is_silent, START)


def test_an_address_that_is_used_again_belongs_to_the_upstream_that_started_last(router):
    """A late call of the upstream that was there before must not bring it back into use."""
    update_upstreams(router, make_visible(NAMES[0]))
    change_upstream(router, make_claimant(9000))
    for silent in (True, False):
        change_upstream(router, make_visible(NAMES[0], is_silent=silent))
        assert router.route(opening(b"f"), START) == ResetFlow(ResetReason.NO_UPSTREAM)
        assert router.route(following(b"g", cookie_of(NAMES[0])), START).upstream == CLAIMANT
    assert router.index.left_out == set()


@pytest.mark.parametrize(
    "claimant",
    [make_claimant(9000, is_silent=True), make_claimant(9000, status=AnnouncedStatus.GONE)],
    ids=["silent", "gone"],
)
def test_an_upstream_that_announces_itself_keeps_its_address(router, claimant):
    """One call that named its address, or a clock that was ahead, took it out of use for good."""
    update_upstreams(router, make_visible(NAMES[0]))
    change_upstream(router, make_claimant(9000))
    change_upstream(router, claimant, seconds=1.0)
    assert router.route(opening(b"f"), at(2.0)).upstream == NAMES[0]
    assert router.route(following(b"g", cookie_of(NAMES[0])), at(9.0)).upstream == NAMES[0]


def test_a_copy_of_an_opening_leaves_an_address_that_is_used_again(router):
    update_upstreams(router, make_visible(NAMES[0]))
    assert router.route(opening(b"f"), START).upstream == NAMES[0]
    change_upstream(router, make_claimant(9000), make_visible(NAMES[1]))
    assert router.route(opening(b"f", 1), at(0.2)).upstream == NAMES[1]


def test_a_conflict_of_cookies_is_reported_once(router):
    update_upstreams(router, make_twin(0))
    later = make_twin(1, started_at_ms=2000)
    effects = router.handle(VisibleUpstreamsChanged((later,)), START)
    assert "cookie-conflict" in str(effects)
    effects = router.handle(VisibleUpstreamsChanged((later,)), START)
    assert "cookie-conflict" not in str(effects)


def test_a_data_centre_whose_upstreams_are_all_suspected_is_not_chosen(router):
    """The flows go to the data centre with spare slots, as if the suspected ones weren't there."""
    near, far = make_visible_in(NAMES[0], "a"), make_visible_in(NAMES[1], "b", slots=2)
    update_upstreams(router, near, far)
    assert choose_many(router) == {NAMES[0]}
    router.suspected_upstreams.record_unanswered_opening(NAMES[0], START, START)
    assert choose_many(router) == {NAMES[1]}
