"""Limits of the flows that cold upstreams get from all balancers together."""

from random import Random

import msgspec
import pytest

from chicorypost.announcements import (
    AnnouncedStatus,
    BalancersCounted,
    EvacuationsApplied,
    RoutingApplied,
    VisibleUpstream,
    VisibleUpstreamsChanged,
)
from chicorypost.announcements.tests.test_table import announce
from chicorypost.base import DataCentreId, InstanceId, Instant, Tick, UpstreamId, Version
from chicorypost.cookies import (
    ColdStartLimits,
    CookieRouter,
    CookieSettings,
    ForwardPacket,
    ResetFlow,
    ResetReason,
)
from chicorypost.cookies._cold_starts import (
    HOLD_SECONDS,
    RETURN_DELAY_SECONDS,
    SPACING_SECONDS,
    compute_share,
)
from chicorypost.cookies.tests.test_router import (
    SERVICE,
    document,
    following,
    opening,
    update_upstreams,
)
from chicorypost.evacuation import Evacuations, Revision
from chicorypost.routing import ServiceSpec

START = Instant(100.0)
WARMUP_SECONDS = 2.0
LIMIT = 5
LIMITS = ColdStartLimits(rate_factor=1.5, extra_flows=float(LIMIT))
BALANCERS = 109
DATA_CENTRES = [DataCentreId(name) for name in "abcd"]
NAMES = [UpstreamId(f"i-{number}") for number in range(1, 76)]


def routing(warmup_seconds=WARMUP_SECONDS, flows_per_second=0.0):
    spec = ServiceSpec(SERVICE, "/", 10, warmup_seconds, flows_per_second)
    return msgspec.structs.replace(document(), version=Version(2), services=(spec,))


def make_visible(number, warmup_ends_at=0.0, sequence=1, started_at_ms=1000, **fields):
    is_silent = fields.pop("is_silent", False)
    call = announce(NAMES[number], started_at_ms, sequence, f"10.0.0.{number + 1}")
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    call = msgspec.structs.replace(call, data_centre=data_centre, **fields)
    return VisibleUpstream(call, is_silent, Instant(warmup_ends_at))


def make_router(upstreams=(), limits=LIMITS, number=0, balancers=LIMIT, **configured):
    """Return a router that started long ago and sees these upstreams.

    With `LIMIT` balancers, each has a share of one flow.
    """
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    router = CookieRouter(
        CookieSettings(),
        data_centre,
        Random(number),
        Instant(START - 60.0),
        cold_start_limits=limits,
        balancer=InstanceId(f"balancer-{number}"),
    )
    router.handle(RoutingApplied(routing(**configured)), START)
    router.handle(BalancersCounted(balancers), START)
    router.handle(VisibleUpstreamsChanged(tuple(upstreams)), START)
    return router


def at(seconds):
    return Instant(START + seconds)


def open_flows(router, seconds=0.0, flows=30, label=""):
    """Open flows at a time; return the upstreams or the reasons for a reset."""
    results = []
    for number in range(flows):
        key = f"{label}{seconds}-{number}".encode()
        decision = router.route(opening(key), at(seconds))
        is_forwarded = isinstance(decision, ForwardPacket)
        results.append(decision.upstream if is_forwarded else decision.reason)
    return results


COLD_UNTIL = START + WARMUP_SECONDS


def test_cold_upstreams_get_no_flows_while_a_warm_one_accepts_them():
    router = make_router(
        [make_visible(0), make_visible(1, COLD_UNTIL), make_visible(4, COLD_UNTIL)]
    )
    assert set(open_flows(router)) == {NAMES[0]}
    assert router.count_packets()["opened-beside-cold"] == 30
    assert NAMES[4] in open_flows(router, WARMUP_SECONDS)


def test_cold_slots_do_not_draw_flows_to_their_data_centre():
    """Flows left a data centre with warm upstreams for one with many cold ones."""
    cold = [make_visible(4, COLD_UNTIL), make_visible(8, COLD_UNTIL)]
    router = make_router([make_visible(0), make_visible(1), *cold], number=1)
    assert set(open_flows(router)) == {NAMES[1]}
    router = make_router([make_visible(0, COLD_UNTIL), make_visible(1), make_visible(2)])
    assert set(open_flows(router)) == {NAMES[1], NAMES[2]}


@pytest.mark.parametrize("unusable", ["suspected", "silent", "draining"])
def test_a_warm_upstream_that_accepts_no_flows_does_not_keep_cold_ones_out_of_use(unusable):
    status = AnnouncedStatus.DRAINING if unusable == "draining" else AnnouncedStatus.READY
    warm = make_visible(0, is_silent=unusable == "silent", status=status)
    router = make_router([warm, make_visible(1, COLD_UNTIL)])
    if unusable == "suspected":
        router.suspected_upstreams.record_unanswered_opening(NAMES[0], START, START)
    results = open_flows(router)
    assert results.count(NAMES[1]) == 1
    assert results.count(ResetReason.COLD_UPSTREAMS) == 29


def list_events(router, seconds):
    return [effect.spec.name for effect in router.handle(Tick(), at(seconds))]


def test_an_upstream_is_cold_for_no_longer_than_the_warmup_of_its_service():
    """Guards against a service out of use because its upstreams state a warm-up of an hour."""
    router = make_router([make_visible(0), make_visible(4, START + 3600.0)])
    assert NAMES[4] not in open_flows(router, WARMUP_SECONDS - 0.1)
    assert NAMES[4] in open_flows(router, WARMUP_SECONDS)


def test_openings_beyond_the_share_are_reset_and_counted():
    router = make_router([make_visible(0, COLD_UNTIL)])
    assert open_flows(router) == [NAMES[0]] + [ResetReason.COLD_UPSTREAMS] * 29
    assert router.route(opening(b"next"), START) == ResetFlow(ResetReason.COLD_UPSTREAMS)
    counters = router.count_packets()
    assert (counters["reset-cold"], counters["opened-cold"], counters["opened"]) == (30, 1, 1)
    assert list_events(router, 0.0) == ["service-cold"]
    assert list_events(router, 1.5) == []
    assert list_events(router, 2.0) == ["service-warm"]


def test_copies_of_an_opening_go_to_their_first_choice():
    """A copy to another upstream would leave the client with two answers."""
    router = make_router([make_visible(0, COLD_UNTIL), make_visible(1, COLD_UNTIL)])
    first = router.route(opening(b"f"), START)
    assert router.route(opening(b"f", copies=1), at(0.2)).upstream == first.upstream
    router = make_router([make_visible(0)])
    router.route(opening(b"f"), START)
    cold = make_visible(0, COLD_UNTIL, sequence=2)
    router.handle(VisibleUpstreamsChanged((cold, make_visible(1))), START)
    assert router.route(opening(b"f", copies=1), at(0.2)).upstream == NAMES[0]


def test_a_moved_copy_goes_to_no_cold_upstream():
    router = make_router([make_visible(0), make_visible(1, COLD_UNTIL), make_visible(2)])
    first = router.route(opening(b"f"), START).upstream
    answered = router.route(opening(b"f", copies=2), at(0.7)).upstream
    assert {first, answered} == {NAMES[0], NAMES[2]}


def test_packets_of_open_flows_reach_an_upstream_that_is_cold_again():
    router = make_router([make_visible(0), make_visible(1)])
    opened = router.route(opening(b"f"), START)
    cold = make_visible(NAMES.index(opened.upstream), COLD_UNTIL, sequence=2)
    router.handle(VisibleUpstreamsChanged((cold,)), START)
    packet = following(b"f", opened.cookie, data=1)
    assert router.route(packet, at(0.1)).upstream == opened.upstream


@pytest.mark.parametrize(
    ("limits", "warmup_seconds"), [(None, WARMUP_SECONDS), (LIMITS, 0.0), (None, 0.0)]
)
def test_without_limits_or_warmup_choices_are_as_before(limits, warmup_seconds):
    seen = [make_visible(n, COLD_UNTIL if n >= 4 else 0.0) for n in range(8)]
    router = make_router(seen, limits=limits, warmup_seconds=warmup_seconds)
    former = CookieRouter(CookieSettings(), DATA_CENTRES[0], Random(0), START)
    former.handle(RoutingApplied(document()), START)
    former.handle(VisibleUpstreamsChanged(tuple(seen)), START)
    assert open_flows(router, flows=200) == open_flows(former, flows=200)
    assert NAMES[4] in open_flows(router, flows=200)


def test_without_a_number_of_balancers_there_is_no_share():
    router = make_router([make_visible(0, COLD_UNTIL)], balancers=None)
    assert set(open_flows(router)) == {ResetReason.COLD_UPSTREAMS}


def test_a_balancer_that_starts_waits_for_the_share_of_its_previous_run():
    router = make_router()
    router.cold_starts.admits_from = at(1.0)
    update_upstreams(router, make_visible(0, COLD_UNTIL))
    assert set(open_flows(router)) == {ResetReason.COLD_UPSTREAMS}
    assert NAMES[0] in open_flows(router, 1.0)


def test_a_lower_number_of_balancers_counts_only_after_a_while():
    """A control instance that is cut off counts fewer balancers, which send flows all the same."""
    router = make_router(balancers=109)
    for seconds, count in ((1.0, 27), (2.0, None), (3.0, 20)):
        router.handle(BalancersCounted(count), at(seconds))
    assert router.cold_starts._count_balancers(at(1.0 + HOLD_SECONDS - 0.1)) == 109
    assert router.cold_starts._count_balancers(at(1.0 + HOLD_SECONDS)) == 20


def test_few_balancers_use_the_whole_limit():
    assert compute_share(LIMIT, LIMIT) == 1.0
    assert compute_share(0, 1) < 1e-3
    for count in (6, 20, 109, 10**9):
        assert 0.6 < count * compute_share(LIMIT, count) < 0.8
    upstream = make_visible(0, COLD_UNTIL + 60.0)
    router = make_router([upstream], balancers=1, flows_per_second=4.0, warmup_seconds=62.0)
    times = [step / 100 for step in range(300) if NAMES[0] in open_flows(router, step / 100, 1)]
    most = max(sum(start <= other < start + 1.0 for other in times) for start in times)
    assert most == 9  # of 4 x 1.5 + 5


def test_an_upstream_of_a_service_that_gets_a_warmup_is_cold_at_once():
    router = make_router([make_visible(0, COLD_UNTIL), make_visible(1)], warmup_seconds=0.0)
    assert NAMES[0] in open_flows(router)
    router.handle(RoutingApplied(msgspec.structs.replace(routing(), version=Version(3))), START)
    assert set(open_flows(router, label="n")) == {NAMES[1]}
    router.handle(RoutingApplied(routing(warmup_seconds=0.0)), START)
    assert NAMES[0] in open_flows(router, label="o")


RETURN_SECONDS = WARMUP_SECONDS + 1.0 + RETURN_DELAY_SECONDS


class TestReturnOfADataCentre:
    """Its upstreams may have become cold without a call that the balancers know."""

    @pytest.fixture
    def router(self):
        router = make_router([make_visible(0), make_visible(1)])
        router.cold_starts.return_data_centre(DATA_CENTRES[0], START)
        return router

    def test_its_upstreams_count_as_cold(self, router):
        assert set(open_flows(router)) == {NAMES[1]}
        assert set(open_flows(router, RETURN_SECONDS - 0.1)) == {NAMES[1]}
        assert NAMES[0] in open_flows(router, RETURN_SECONDS)

    def test_a_call_that_states_a_warmup_ends_the_assumption(self, router):
        update_upstreams(router, make_visible(0, START + 1.5, 2), make_visible(1), seconds=0.5)
        assert set(open_flows(router, 1.4)) == {NAMES[1]}
        assert NAMES[0] in open_flows(router, 1.5)

    @pytest.mark.parametrize(("seconds", "is_believed"), [(0.5, False), (2.0, True)])
    def test_a_call_without_a_warmup_counts_if_made_since_the_return(
        self, router, seconds, is_believed
    ):
        """A page on the way may state that an upstream was warm before it became cold."""
        update_upstreams(router, make_visible(0, 0.0, 2), make_visible(1), seconds=seconds)
        assert (NAMES[0] in open_flows(router, seconds)) == is_believed

    def test_a_change_without_a_call_does_not_end_the_assumption(self, router):
        for is_silent in (True, False):
            seen = make_visible(0, is_silent=is_silent)
            update_upstreams(router, seen, make_visible(1), seconds=2.5)
        assert set(open_flows(router, 2.5)) == {NAMES[1]}

    def test_a_new_run_ends_the_assumption(self, router):
        update_upstreams(router, make_visible(0, started_at_ms=2000), make_visible(1))
        assert NAMES[0] in open_flows(router)

    def test_other_data_centres_and_services_without_a_warmup_stay_in_use(self):
        router = make_router([make_visible(0), make_visible(1)], warmup_seconds=0.0)
        router.cold_starts.return_data_centre(DATA_CENTRES[0], START)
        assert NAMES[0] in open_flows(router)


class ColdStartRun:
    """109 balancers that open 400 flows a second at 60 upstreams in four data centres."""

    def __init__(self, limits, upstreams, counts=(BALANCERS,) * BALANCERS, seed=1):
        self.random = Random(seed)
        seen = tuple(upstreams)
        self.routers = [
            make_router(seen, limits, seed * BALANCERS + number, count)
            for number, count in enumerate(counts)
        ]
        self.flows = {}
        self.forwarded = self.reset = 0

    def tell(self, seen, seconds):
        """Let each balancer see a change, each after another delay of its feed."""
        changed = VisibleUpstreamsChanged(tuple(seen))
        for router in self.routers:
            router.handle(changed, at(seconds))

    def run(self, start, end, rate=400.0):
        seconds = start
        while (seconds := seconds + self.random.expovariate(rate)) < end:
            router = self.random.choice(self.routers)
            decision = router.route(opening(self.random.randbytes(12)), at(seconds))
            if isinstance(decision, ForwardPacket):
                self.forwarded += 1
                self.flows.setdefault(decision.upstream, []).append(seconds)
            else:
                self.reset += 1

    def most_in_a_second(self, names, start, end):
        """Return the most flows that one of the upstreams got in a second while it was cold."""
        most = 0
        for name in names:
            times = [item for item in self.flows.get(name, ()) if start <= item < end]
            for first in times:
                most = max(most, sum(first <= item < first + 1.0 for item in times))
        return most


def play_release(limits):
    """A tenth of the upstreams is replaced at once."""
    run = ColdStartRun(limits, [make_visible(n) for n in range(60)])
    run.run(-4.0, 1.0)
    old = [make_visible(n, sequence=2, status=AnnouncedStatus.DRAINING) for n in range(6)]
    new = [make_visible(n, at(3.0)) for n in range(60, 66)]
    run.tell(old + new, 1.0)
    run.run(1.0, 3.0)
    return run, run.most_in_a_second(NAMES[60:66], 1.0, 3.0)


def play_scale_out(limits):
    """A quarter more upstreams start at once."""
    run = ColdStartRun(limits, [make_visible(n) for n in range(60)])
    run.run(-4.0, 1.0)
    run.tell([make_visible(n, at(3.0)) for n in range(60, 75)], 1.0)
    run.run(1.0, 3.0)
    return run, run.most_in_a_second(NAMES[60:75], 1.0, 3.0)


def play_cold_return(limits):
    """A data centre returns from an evacuation; its upstreams call within a second after that."""
    home = range(0, 60, len(DATA_CENTRES))
    run = ColdStartRun(limits, [make_visible(n) for n in range(60) if n not in home])
    run.run(-4.0, 1.0)
    run.tell([make_visible(n) for n in home], 1.0)
    for router in run.routers:
        if router.cold_starts is not None:
            router.cold_starts.return_data_centre(DATA_CENTRES[0], at(1.0))
    for tenth in range(10):
        called = [n for n in home if n % 10 == tenth]
        run.tell([make_visible(n, at(3.0), sequence=2) for n in called], 1.0 + tenth / 10)
        run.run(1.0 + tenth / 10, 1.1 + tenth / 10)
    run.run(2.0, 3.0)
    return run, run.most_in_a_second([NAMES[n] for n in home], 1.0, 3.0)


def play_all_cold(limits, counts=(BALANCERS,) * BALANCERS):
    """All upstreams start at once, so that no balancer has a warm one."""
    run = ColdStartRun(limits, [make_visible(n, at(2.0)) for n in range(60)], counts)
    run.run(0.0, 2.0)
    return run, run.most_in_a_second(NAMES[:60], 0.0, 2.0)


@pytest.mark.parametrize("play", [play_release, play_scale_out, play_cold_return])
def test_balancers_together_leave_cold_upstreams_alone_while_others_are_warm(play):
    """Each balancer prefers an upstream without load, so that a new one got flows from all."""
    former, most_before = play(None)
    run, most = play(LIMITS)
    assert most_before > LIMIT
    assert most == 0
    assert run.reset == 0 and run.forwarded == former.forwarded


@pytest.mark.parametrize(
    "counts",
    [
        pytest.param([109] * 109, id="agreed"),
        pytest.param([27] * 27 + [109] * 82, id="instance cut off with 27 balancers"),
        pytest.param([54] * 54 + [55] * 55, id="two instances that disagree"),
    ],
)
def test_balancers_together_keep_the_limit_when_all_upstreams_are_cold(counts):
    _, most_before = play_all_cold(None)
    run, most = play_all_cold(LIMITS, counts)
    assert most_before > LIMIT
    assert 0 < most <= LIMIT
    assert run.forwarded > 0.05 * LIMIT * 60 * WARMUP_SECONDS


def test_the_share_of_a_balancer_is_spread_over_time():
    router = make_router([make_visible(0, COLD_UNTIL + 60.0)], warmup_seconds=62.0)
    times = [step / 100 for step in range(500) if NAMES[0] in open_flows(router, step / 100, 1)]
    assert times == [0.0, SPACING_SECONDS, 2 * SPACING_SECONDS, 3 * SPACING_SECONDS]


def test_the_end_of_an_evacuation_counts_its_upstreams_as_cold():
    """Guards against a router that ends an evacuation without telling the limits; its upstreams may
    have become cold meanwhile, and have no load."""
    router = make_router([make_visible(0), make_visible(1)], number=1)
    evacuated = Evacuations(Revision(1), (DATA_CENTRES[1],))
    router.handle(EvacuationsApplied(evacuated), START)
    assert set(open_flows(router, 0.1)) == {NAMES[0]}
    router.handle(EvacuationsApplied(Evacuations(Revision(2), ())), at(1.0))
    cold_seconds = 1.0 + RETURN_DELAY_SECONDS + WARMUP_SECONDS
    assert set(open_flows(router, 1.0 + cold_seconds - 0.1)) == {NAMES[0]}
    assert NAMES[1] in open_flows(router, 1.0 + cold_seconds)
