# mypy: disable-error-code="arg-type, union-attr, has-type, var-annotated"
"""Tests of the directory: draining, expiry, endpoint conflicts, lost and reordered messages."""

import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorypost.base import Instant, LeaseChanged, Received, Tick, UpstreamState, ViewChanged
from chicorypost.upstreams import (
    AnnouncementReceived,
    AnnouncementRefusalReason,
    DirectorySettings,
    UpstreamDirectory,
    dispatcher_of,
)
from chicorypost.upstreams._directory_messages import DirectoryRecord, DirectoryReport
from chicorypost.upstreams._relay import find_relays
from chicorypost.upstreams.tests.builders import (
    DISTANT_FUTURE,
    directories_by_instance,
    make_upstream,
    make_view,
    start_directories,
    start_directory,
)

DRAINING = UpstreamState.DRAINING
READY = UpstreamState.READY


def announce(loop, instance, upstream, valid=10.0):
    loop.deliver_event(instance, AnnouncementReceived(upstream, valid))


def states_by_instance(loop, name):
    found = {
        instance: directory.find_upstream(name)
        for instance, directory in directories_by_instance(loop).items()
    }
    return {instance: upstream and upstream.state for instance, upstream in found.items()}


def keep_announcing(loop, instance, upstream, until, every=3.0):
    while loop.now < until:
        announce(loop, instance, upstream)
        loop.run_until(min(loop.now + every, until))


@pytest.mark.parametrize("count", [1, 2, 7, 40])
def test_an_announcement_to_any_balancer_is_known_on_all(count):
    view = make_view(count)
    loop = start_directories([view])
    announce(loop, view.members[-1].instance, make_upstream("a"))
    loop.run_until(1.0)
    assert set(states_by_instance(loop, "a").values()) == {READY}
    digests = {
        directory.store.digest("gent") for directory in directories_by_instance(loop).values()
    }
    assert len(digests) == 1


@pytest.mark.parametrize("seed", range(12))
def test_a_draining_upstream_gets_no_new_work_anywhere_after_3_s_despite_losses(seed):
    draw = random.Random(seed)

    def route(sender, to, message):
        delays = [0.001 + draw.random() * 0.05 for _ in range(draw.choice((0, 1)))]
        return delays if loop.now >= 5 else (0.001,)

    view = make_view(20)
    loop = start_directories([view], route)
    announce(loop, "gent-3", make_upstream("a"))
    loop.run_until(5.0)
    assert set(states_by_instance(loop, "a").values()) == {READY}
    announce(loop, "gent-4", make_upstream("a", state=DRAINING))
    loop.run_until(8.0)
    assert READY not in states_by_instance(loop, "a").values()


def test_a_balancer_without_contact_to_a_relay_shows_upstreams_as_draining_within_3_s():
    view = make_view(7)
    isolated = next(m.instance for m in view.members if m.instance not in find_relays(view))
    loop = start_directories(
        [view], lambda sender, to, message: () if cut and to == isolated else (0.01,)
    )
    cut = False
    announce(loop, "gent-1", make_upstream("a"), 15.0)
    loop.run_until(1.0)
    assert states_by_instance(loop, "a")[isolated] is READY
    cut = True
    loop.run_until(4.0)
    assert states_by_instance(loop, "a")[isolated] is DRAINING
    cut = False
    loop.run_until(6.0)
    assert set(states_by_instance(loop, "a").values()) == {READY}


def test_an_upstream_without_renewal_expires_and_a_renewed_one_stays():
    view = make_view(7)
    loop = start_directories([view])
    announce(loop, "gent-1", make_upstream("silent"), 5.0)
    keep_announcing(loop, "gent-2", make_upstream("alive"), 8.0)
    assert set(states_by_instance(loop, "silent").values()) == {None}
    assert set(states_by_instance(loop, "alive").values()) == {READY}
    announce(loop, "gent-6", make_upstream("silent"), 5.0)
    loop.run_until(9.0)
    assert set(states_by_instance(loop, "silent").values()) == {READY}


@pytest.mark.parametrize("role", ["keeper", "first relay", "second relay", "both relays"])
def test_records_expire_or_stay_after_the_loss_of(role):
    view = make_view(9)
    relays = find_relays(view)
    owner = dispatcher_of(view, "silent").instance
    lost = {
        "keeper": [owner],
        "first relay": relays[:1],
        "second relay": relays[1:],
        "both relays": relays,
    }[role]
    loop = start_directories([view])
    observer = next(m.instance for m in view.members if m.instance not in {owner, *relays})
    announce(loop, observer, make_upstream("silent"), 15.0)
    announce(loop, observer, make_upstream("alive"), 15.0)
    loop.run_until(1.0)
    for instance in lost:
        loop.crash_instance(instance)
    loop.run_until(4.0)
    after = make_view(9, epoch=2, without=lost)
    for member in after.members:
        loop.deliver_event(member.instance, ViewChanged(after))
    keep_announcing(loop, observer, make_upstream("alive"), 22.0)
    assert set(states_by_instance(loop, "silent").values()) == {None}
    assert set(states_by_instance(loop, "alive").values()) == {READY}


@pytest.mark.parametrize("lost_share", [0.0, 0.3])
@pytest.mark.parametrize("second", ["first relay", "second relay", "keeper"])
@pytest.mark.parametrize("first", ["first relay", "second relay", "keeper"])
def test_a_drain_reaches_all_balancers_when_another_is_lost_right_after_a_repair(
    first, second, lost_share
):
    """The view has just been repaired when the next balancer is lost, beside a drain.

    With `lost_share`, so many messages are lost too.
    """
    draw = random.Random(f"{first} {second}")

    def route(sender, to, message):
        return () if loop.now > 1.0 and draw.random() < lost_share else (0.005,)

    def find_role(view, role):
        relays = find_relays(view)
        by_role = {"first relay": relays[0], "second relay": relays[-1]}
        return by_role.get(role) or dispatcher_of(view, "a").instance

    def crash(role, view):
        lost.append(find_role(view, role))
        loop.crash_instance(lost[-1])

    def repair(epoch):
        view = make_view(9, epoch=epoch, without=lost)
        for member in view.members:
            loop.deliver_event(member.instance, ViewChanged(view))
        return view

    lost: list[str] = []
    view = make_view(9)
    loop = start_directories([view], route)
    announce(loop, view.members[-1].instance, make_upstream("a"), 30.0)
    loop.run_until(1.0)
    crash(first, view)
    loop.run_until(4.0)
    repaired = repair(2)
    loop.run_until(4.05)
    crash(second, repaired)
    remaining = make_view(9, without=lost).members[0].instance
    announce(loop, remaining, make_upstream("a", state=DRAINING), 30.0)
    loop.run_until(7.05)
    live = {
        name: state for name, state in states_by_instance(loop, "a").items() if name not in lost
    }
    assert READY not in live.values()
    repair(3)
    loop.run_until(8.0)
    live = {
        name: state for name, state in states_by_instance(loop, "a").items() if name not in lost
    }
    assert set(live.values()) == {DRAINING}


@pytest.mark.parametrize("way", ["frozen", "without a lease"])
def test_a_balancer_removes_no_upstream_after_it_was(way):
    """A balancer that missed announcements, while paused or without a lease, removes nothing."""
    view = make_view(7)
    loop = start_directories([view])
    owner = dispatcher_of(view, "a").instance
    entry = next(m.instance for m in view.members if m.instance != owner)
    announce(loop, entry, make_upstream("a"))
    loop.run_until(1.0)
    loop.deliver_event(owner, LeaseChanged(Instant(3.0) if way == "frozen" else None))
    if way == "frozen":
        loop.freeze_instance(owner)
    loop.run_until(14.0)
    if way == "frozen":
        loop.resume_instance(owner)
    loop.run_until(15.0)
    assert directories_by_instance(loop)[entry].find_upstream("a").state is READY
    assert directories_by_instance(loop)[owner].find_upstream("a") is not None


@given(st.permutations(["old", "new", "gone", "new again"]))
def test_a_taken_over_endpoint_reaches_neither_service_until_the_old_record_ends(order):
    old, new = make_upstream("old", port=7), make_upstream("new", service="archive", port=7)
    records = {
        "old": DirectoryRecord(old, 0, 0, False),
        "new": DirectoryRecord(new, 0, 0, False),
        "gone": DirectoryRecord(old, 1, 0, True),
        "new again": DirectoryRecord(new, 0, 1, False),
    }
    directory = UpstreamDirectory(DirectorySettings(), "x", "gent", Instant(0.0))
    directory.handle(LeaseChanged(DISTANT_FUTURE), Instant(0.0))
    seen = set()
    for name in order:
        directory.handle(Received("y", DirectoryReport((), (records[name],))), Instant(1.0))
        seen.add(name)
        old_may_show = "old" in seen and "gone" not in seen
        new_may_show = bool(seen & {"new", "new again"}) and not old_may_show
        assert (directory.find_upstream("new") is not None) == new_may_show
        assert (directory.find_upstream("old") is not None) == (
            old_may_show and not seen & {"new", "new again"}
        )
    assert [found.service for found in directory.upstreams_of("archive")] == ["archive"]
    assert directory.upstreams_of("orders") == ()


def test_a_claimed_endpoint_is_refused_until_the_old_upstream_has_left():
    loop = start_directories([make_view(5)])
    old, new = make_upstream("old", port=7), make_upstream("new", service="archive", port=7)
    announce(loop, "gent-0", old)
    loop.run_until(1.0)
    directory = directories_by_instance(loop)["gent-1"]
    assert directory.find_refusal(new).reason is AnnouncementRefusalReason.ENDPOINT_TAKEN
    announce(loop, "gent-1", new)
    loop.run_until(2.0)
    assert set(states_by_instance(loop, "old").values()) == {None}
    assert set(states_by_instance(loop, "new").values()) == {None}
    announce(loop, "gent-2", make_upstream("old", port=7, state=DRAINING), 0.0)
    loop.run_until(3.0)
    assert set(states_by_instance(loop, "new").values()) == {READY}


@pytest.mark.parametrize(
    ("known", "announced", "reason"),
    [
        ({"incarnation": 3}, {"incarnation": 2}, AnnouncementRefusalReason.OLDER_INCARNATION),
        ({"state": DRAINING}, {}, AnnouncementRefusalReason.STATE_WENT_BACK),
        ({}, {"service": "archive"}, AnnouncementRefusalReason.CHANGED_WITHIN_INCARNATION),
        ({}, {"port": 9}, AnnouncementRefusalReason.CHANGED_WITHIN_INCARNATION),
        ({}, {"incarnation": 2, "service": "archive"}, None),
        ({"state": DRAINING}, {"incarnation": 2}, None),
    ],
)
def test_an_announcement_never_goes_back(known, announced, reason):
    loop = start_directories([make_view(3)])
    announce(loop, "gent-0", make_upstream("a", **known))
    loop.run_until(1.0)
    for instance in ("gent-1", "gent-2", "gent-0"):
        announce(loop, instance, make_upstream("a", **announced))
    loop.run_until(2.0)
    expected = make_upstream("a", **(known if reason else announced))
    assert {
        directory.find_upstream("a") for directory in directories_by_instance(loop).values()
    } == {expected}
    refusal = directories_by_instance(loop)["gent-1"].find_refusal(make_upstream("a", **announced))
    assert (refusal.reason if refusal else None) is reason


@given(st.randoms(use_true_random=False))
@settings(max_examples=15)
def test_all_balancers_agree_after_losses_copies_and_reordering(draw):
    def route(sender, to, message):
        copies = draw.choice((0, 1, 1, 2)) if loop.now < 6 else 1
        return [0.001 + draw.random() * 0.4 for _ in range(copies)]

    views = [make_view(6), make_view(3, data_centre="aalst")]
    loop = start_directories(views, route, DirectorySettings(slow_start_seconds=1000))
    instances = list(loop.machines)
    for step in range(20):
        name, incarnation = draw.choice("abcd"), draw.randint(1, 3)
        state = draw.choice(list(UpstreamState))
        dc = "gent" if name < "d" else "aalst"
        upstream = make_upstream(name, incarnation, state=state, port=50 + ord(name), dc=dc)
        announce(loop, draw.choice(instances), upstream, draw.choice((0.0, 15.0)))
        loop.run_until(step * 0.3)
    loop.run_until(13.0)
    for dc in ("gent", "aalst"):
        assert (
            len(
                {directory.store.digest(dc) for directory in directories_by_instance(loop).values()}
            )
            == 1
        )
    shown = {
        name: {m.find_upstream(name) for m in directories_by_instance(loop).values()}
        for name in "abcd"
    }
    assert all(len(found) == 1 for found in shown.values())


def test_a_cut_data_centre_is_shown_as_draining_and_comes_back():
    views = [make_view(4), make_view(3, data_centre="aalst")]
    cut = False
    loop = start_directories(views, lambda a, b, m: () if cut and a[:4] != b[:4] else (0.01,))
    announce(loop, "aalst-1", make_upstream("a", dc="aalst"), 15.0)
    loop.run_until(2.0)
    assert set(states_by_instance(loop, "a").values()) == {READY}
    cut = True
    keep_announcing(loop, "aalst-1", make_upstream("a", dc="aalst"), 12.0)
    assert {s for name, s in states_by_instance(loop, "a").items() if name[:4] == "gent"} == {
        DRAINING
    }
    assert {s for name, s in states_by_instance(loop, "a").items() if name[:5] == "aalst"} == {
        READY
    }
    cut = False
    keep_announcing(loop, "aalst-1", make_upstream("a", dc="aalst"), 15.0)
    assert set(states_by_instance(loop, "a").values()) == {READY}


def test_a_restarted_balancer_fetches_only_what_it_lacks():
    view = make_view(5)
    loop = start_directories([view])
    for number in range(300):
        announce(loop, "gent-0", make_upstream(f"u{number}", port=2_000 + number), 15.0)
    loop.run_until(1.0)
    newcomer = next(m for m in view.members if m.instance not in find_relays(view))
    start_directory(loop, newcomer, [view])
    loop.run_until(5.0)
    assert len(directories_by_instance(loop)[newcomer.instance].upstreams_of("orders")) == 300


def test_a_new_upstream_gains_weight_in_the_same_steps_on_all_balancers():
    loop = start_directories([make_view(5)])
    weights = []
    for _ in range(8):
        keep_announcing(loop, "gent-2", make_upstream("a"), loop.now + 3.0)
        found = {
            directory.weight_of("a", loop.now)
            for directory in directories_by_instance(loop).values()
        }
        assert len(found) == 1
        weights += found
    assert weights[0] == 0.2 and weights[-1] == 1.0
    assert all(b >= a for a, b in itertools.pairwise(weights))
    announce(loop, "gent-2", make_upstream("a", state=DRAINING))
    assert directories_by_instance(loop)["gent-2"].weight_of("a", loop.now) == 0.0


def test_no_deadline_stays_in_the_past():
    loop = start_directories([make_view(3)])
    announce(loop, "gent-0", make_upstream("a"), 2.0)
    for at in range(1, 100):
        loop.run_until(at * 0.5)
        for directory in directories_by_instance(loop).values():
            directory.handle(Tick(), loop.now)
            deadline = directory.next_deadline()
            assert deadline is None or deadline > loop.now
