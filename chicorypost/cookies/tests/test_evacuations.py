"""New flows and copies of openings avoid evacuated data centres; open flows stay."""

import msgspec
import pytest

from chicorypost.announcements import AnnouncedStatus, EvacuationsApplied
from chicorypost.base import DataCentreId, Tick
from chicorypost.cookies import ForwardPacket, ResetFlow, ResetReason
from chicorypost.cookies.tests.test_router import (
    NAMES,
    SERVICE,
    START,
    at,
    chosen_by,
    following,
    leave_unanswered,
    make_visible,
    make_visible_in,
    opening,
    router,
    update_upstreams,
)
from chicorypost.evacuation import Evacuations, Revision

__all__ = ["router"]
CENTRES = dict(zip(NAMES, "abc", strict=True))


def evacuate(router, *names):
    data_centres = tuple(DataCentreId(name) for name in names)
    router.handle(EvacuationsApplied(Evacuations(Revision(1), data_centres)), START)


def flow_shares(router, count=400):
    """Return the share of each upstream in new flows; those of earlier calls are other flows."""
    first = router.counters["opened"]
    flows = [(first + number).to_bytes(4, "big") for number in range(count)]
    chosen = [chosen_by(router, opening(flow)) for flow in flows]
    return {name: chosen.count(name) / count for name in NAMES}


@pytest.fixture
def spread_router(router):
    """Return a router with one upstream in each of three data centres; its own is `a`."""
    update_upstreams(router, *(make_visible_in(name, CENTRES[name]) for name in NAMES))
    return router


def test_new_flows_avoid_an_evacuated_data_centre_until_its_end(spread_router):
    assert flow_shares(spread_router)[NAMES[0]] == 1.0
    evacuate(spread_router, "a")
    during = flow_shares(spread_router)
    # Its slots no longer count, and the other data centres share its flows.
    assert during[NAMES[0]] == 0.0 and 0.4 < during[NAMES[1]] < 0.6
    evacuate(spread_router)
    assert flow_shares(spread_router)[NAMES[0]] == 1.0


def test_an_upstream_that_appears_or_changes_during_the_evacuation_gets_no_new_flow(router):
    evacuate(router, "a")
    late = [make_visible_in(name, CENTRES[name]) for name in NAMES]
    update_upstreams(router, *late)
    assert flow_shares(router)[NAMES[0]] == 0
    update_upstreams(router, make_visible_in(NAMES[0], "a", slots=9), *late[1:])
    assert flow_shares(router)[NAMES[0]] == 0
    update_upstreams(router, make_visible_in(NAMES[0], "b"), *late[1:])
    assert flow_shares(router)[NAMES[0]] > 0


def test_a_copy_of_an_opening_moves_away_and_an_open_flow_stays(spread_router):
    opened = spread_router.route(opening(b"open"), START)
    assert isinstance(opened, ForwardPacket) and opened.upstream == NAMES[0]
    assert chosen_by(spread_router, opening(b"copied")) == NAMES[0]
    evacuate(spread_router, "a")
    followed = spread_router.route(following(b"open", opened.cookie, data=9), at(5.0))
    assert isinstance(followed, ForwardPacket) and followed.upstream == NAMES[0]
    assert chosen_by(spread_router, opening(b"copied", 1)) in NAMES[1:]


def test_an_opening_that_only_evacuated_data_centres_could_serve_is_reset(spread_router):
    evacuate(spread_router, "a", "b", "c", "d")
    for copies in (0, 1):
        decision = spread_router.route(opening(b"f", copies), START)
        assert decision == ResetFlow(ResetReason.EVACUATED)
    assert spread_router.count_packets()["reset-evacuated"] == 2
    draining = [make_visible(name, AnnouncedStatus.DRAINING) for name in NAMES]
    update_upstreams(spread_router, *draining)
    assert spread_router.route(opening(b"f"), START) == ResetFlow(ResetReason.NO_UPSTREAM)
    evacuate(spread_router)
    update_upstreams(spread_router, make_visible_in(NAMES[0], "a"))
    assert chosen_by(spread_router, opening(b"f")) == NAMES[0]


def test_a_service_whose_upstreams_are_all_evacuated_is_not_reported_as_unreachable(spread_router):
    """Guards against a deployment that takes itself out of rotation because of an order."""
    evacuate(spread_router, "a", "b", "c")
    assert spread_router.find_unreachable_service() is None


def test_an_evacuated_upstream_does_not_make_a_service_reachable(spread_router):
    """Guards against a balancer that is cut off in an evacuated data centre, stays in rotation and
    resets every flow of its clients."""
    evacuate(spread_router, "a")
    silent = [
        msgspec.structs.replace(make_visible_in(name, "b"), is_silent=True) for name in NAMES[1:]
    ]
    update_upstreams(spread_router, make_visible_in(NAMES[0], "a"), *silent)
    assert spread_router.find_unreachable_service() == SERVICE


def test_an_evacuation_does_not_hide_that_no_upstream_answers(spread_router):
    update_upstreams(spread_router, make_visible_in(NAMES[0], "a"), make_visible_in(NAMES[1], "b"))
    first = leave_unanswered(spread_router, b"f")
    second = leave_unanswered(spread_router, b"g", seconds=0.3)
    assert {first, second} == set(NAMES[:2])
    evacuate(spread_router, "a")
    assert spread_router.find_unreachable_service() == SERVICE


def test_the_dump_shows_the_evacuated_data_centres(spread_router):
    evacuate(spread_router, "b", "a")
    spread_router.handle(Tick(), at(1.0))
    assert spread_router.dump()["evacuated"] == ["a", "b"]
