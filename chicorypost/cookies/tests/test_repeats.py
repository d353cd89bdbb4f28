"""Resets of flows with a stalled request, and every guard that prevents one."""

from random import Random

import msgspec
import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chicorypost.announcements import AnnouncedStatus, RoutingApplied, VisibleUpstreamsChanged
from chicorypost.base import Address, FlowKey, Instant, ServiceId, Tick, UpstreamId
from chicorypost.cookies import (
    BalancingSettings,
    CookiePacket,
    FlowEnds,
    RepeatingRouter,
    ResetStalledFlow,
)
from chicorypost.cookies._packet import RepeatReason
from chicorypost.cookies._repeats import MAX_TOKENS
from chicorypost.cookies.tests.test_router import (
    ADDRESS,
    BALANCER_DATA_CENTRE,
    NAMES,
    SETTINGS,
    START,
    at,
    cookie_of,
    document,
    make_visible,
    make_visible_in,
)
from chicorypost.routing import Retryability, WeightedService

SHARE = 0.2
BALANCING = BalancingSettings(repeat_share=SHARE)
STALLED, PEER, OTHER_PEER = NAMES
RUN = make_visible(STALLED).announcement.started_at_ms
COPY_TIMES = (0.2, 0.6, 1.4)
"""When a client repeats data without an acknowledgement, in seconds after it."""


def read_ends(flow):
    """Take the last byte of a key as the client."""
    return FlowEnds(ADDRESS, str(flow[-1]))


def make_router(balancing=BALANCING):
    router = RepeatingRouter(
        SETTINGS, BALANCER_DATA_CENTRE, Random(1), START, balancing, None, read_ends
    )
    router.handle(RoutingApplied(document()), START)
    seen = tuple(make_visible_in(name, "a") for name in NAMES)
    router.handle(VisibleUpstreamsChanged(seen), START)
    return router


class Scene:
    """A router with fake time; collects the resets."""

    def __init__(self, balancing=BALANCING):
        self.router = make_router(balancing)
        self.now = 0.0
        self.resets = []

    def advance(self, until):
        """Tick the router as its deadlines ask until a time in seconds after the start."""
        while (due := self.router.next_deadline()) <= at(until):
            self.tick(max(due, at(self.now)))
        self.now = max(self.now, until)

    def tick(self, now):
        effects = self.router.handle(Tick(), Instant(now))
        self.resets += [item for item in effects if isinstance(item, ResetStalledFlow)]

    def send(self, flow, name, ack=1, data=100, sequence=1, ends_flow=False):
        packet = CookiePacket(
            FlowKey(flow), ADDRESS, False, ends_flow, False, ack, data, cookie_of(name), sequence
        )
        return self.router.route(packet, at(self.now))

    def serve(self, flow, name, ack=1):
        """Send a request that is answered at once."""
        self.send(flow, name, ack=ack, sequence=ack)
        self.send(flow, name, ack=ack + 500, data=0, sequence=ack + 100)

    def save_budget(self):
        for number in range(20):
            self.serve(b"budget-%d-9" % number, PEER)


@pytest.fixture
def scene():
    scene = Scene()
    scene.save_budget()
    return scene


def stall(scene, flows=(b"f1", b"g2"), change=None, peers=True, copies=COPY_TIMES, until=2.0):
    """Let requests stall from 1.0 s; answers of peers come at 1.3 s, a change at 1.35 s."""
    for flow in flows:
        # The first packet of a flow proves an answer to its opening.
        scene.send(flow, STALLED, data=0)
    scene.advance(1.0)
    for flow in flows:
        scene.send(flow, STALLED)
    actions = [(1.0 + seconds, flow) for seconds in copies for flow in flows]
    actions += [(1.3, "peers")] * peers + [(1.35, "change")] * (change is not None)
    for when, action in sorted(actions, key=lambda item: item[0]):
        scene.advance(when)
        if action == "peers":
            scene.serve(b"p3", PEER)
            scene.serve(b"q4", OTHER_PEER)
        elif action == "change":
            change(scene)
        else:
            scene.send(action, STALLED)
    scene.advance(max(until, scene.now + 0.15))


def judge(scene, until=60.0):
    scene.router.repeats.record_judgement(STALLED, RUN, at(until))


def reset_flows(scene):
    return [reset.flow for reset in scene.resets]


def test_two_clients_that_repeat_data_are_reset_together(scene):
    stall(scene, copies=COPY_TIMES[:2])
    assert reset_flows(scene) == [b"f1", b"g2"]
    first = scene.resets[0]
    assert (first.reason, first.upstream, first.ack_number) == (RepeatReason.COPIES, STALLED, 1)
    assert 0.6 <= first.waiting_seconds < 0.9
    assert scene.router.count_packets()["reset-stalled-copies"] == 2


def test_a_flow_that_was_reset_is_no_evidence_later(scene):
    """Its client acknowledges nothing any more, whatever the upstream does."""
    stall(scene, copies=COPY_TIMES[:2], until=1.85)
    scene.router.repeats.tokens = MAX_TOKENS
    scene.send(b"h3", STALLED)
    for seconds in (2.05, 2.45):
        scene.advance(seconds)
        for flow in (b"f1", b"h3"):
            scene.send(flow, STALLED)
        scene.serve(b"q%d4" % (100 * seconds), PEER)
    scene.advance(2.9)
    assert reset_flows(scene) == [b"f1", b"g2"]


@pytest.mark.parametrize("copies", [(0.2,), COPY_TIMES[:2]])
def test_a_judged_upstream_needs_one_copy(scene, copies):
    stall(scene, flows=(b"f1",), change=judge, copies=copies)
    assert reset_flows(scene) == [b"f1"]
    assert scene.resets[0].reason is RepeatReason.JUDGED


LITTLE_EVIDENCE = {
    "a single flow": ((b"f1",), COPY_TIMES, None),
    "answers may be lost on the way to one client": ((b"f1", b"g1"), COPY_TIMES, None),
    "an end acknowledges the first copy only": ((b"f1", b"g2"), (0.2,), None),
    "the judged run ended before the request started": ((b"f1",), COPY_TIMES, RUN - 1),
    "without a packet the flow may have moved to another balancer": ((b"f1", b"g2"), (), RUN),
}


@pytest.mark.parametrize("name", LITTLE_EVIDENCE)
def test_no_flow_is_reset_with_little_evidence(scene, name):
    """Each case lacks one part of the evidence of the tests above."""
    flows, copies, judged_run = LITTLE_EVIDENCE[name]
    if judged_run is not None:
        scene.router.repeats.record_judgement(STALLED, judged_run, at(60.0))
    stall(scene, flows=flows, copies=copies, until=6.0)
    assert not scene.resets
    refused = scene.router.count_packets().get("not-repeated-little-evidence", 0)
    assert refused == (len(flows) if copies else 0)


@pytest.mark.parametrize("ends_flow", [False, True])
def test_late_copies_of_an_answered_request_are_not_watched(scene, ends_flow):
    """Packets that the network delivers after the acknowledgement, or after the close."""
    judge(scene)
    scene.advance(1.0)
    scene.send(b"f1", STALLED)
    scene.send(b"f1", STALLED, ack=900, data=0, sequence=101, ends_flow=ends_flow)
    stall(scene, flows=(b"f1",), copies=(0.2, 0.4, 0.6))
    assert not scene.resets


def test_a_flow_that_moved_to_another_balancer_after_a_copy_is_left_alone(scene):
    """The judgement comes 1.6 s after the last packet of the flow."""
    stall(scene, flows=(b"f1",), copies=(0.2,))
    scene.advance(2.9)
    judge(scene)
    scene.advance(6.0)
    assert not scene.resets
    assert scene.router.count_packets()["not-repeated-no-recent-copy"] == 1


def replace_route(scene, **changes):
    current = scene.router.document
    route = msgspec.structs.replace(current.routes[0], **changes)
    scene.router.handle(
        RoutingApplied(msgspec.structs.replace(current, version=2, routes=(route,))), at(scene.now)
    )


def update(scene, item):
    scene.router.handle(VisibleUpstreamsChanged((item,)), at(scene.now))


def make_stalled(**changes):
    item = make_visible_in(STALLED, "a")
    return msgspec.structs.replace(
        item, announcement=msgspec.structs.replace(item.announcement, **changes)
    )


def pause(scene):
    scene.now = 2.3
    scene.send(b"other7", PEER, data=0)


def answer_other_flow(scene):
    scene.send(b"h3", STALLED, ack=1, data=0)


def receive_data(scene):
    """Both clients acknowledge the first data of a download."""
    for flow in (b"f1", b"g2"):
        scene.send(flow, STALLED, ack=900, data=0)


def send_body(scene):
    """Both clients send further data of their requests."""
    for flow in (b"f1", b"g2"):
        scene.send(flow, STALLED, sequence=1201)


def close_flows(scene):
    for flow in (b"f1", b"g2"):
        scene.send(flow, STALLED, ends_flow=True)


def occupy_others(scene):
    for number in range(8):
        scene.send(b"busy%d8" % number, (PEER, OTHER_PEER)[number % 2], sequence=5)


def remove_others(scene):
    scene.router.handle(VisibleUpstreamsChanged((), (PEER, OTHER_PEER)), at(scene.now))


def chill_others(scene):
    for name in (PEER, OTHER_PEER):
        item = msgspec.structs.replace(make_visible_in(name, "a"), warmup_ends_at=at(60.0))
        scene.router.handle(VisibleUpstreamsChanged((item,)), at(scene.now))


GUARDS = {
    "suspended balancer": (pause, "disturbed"),
    "full link": (lambda scene: scene.router.record_local_fault(), "disturbed"),
    "answer on another flow": (answer_other_flow, "upstream-answers"),
    "download in progress": (receive_data, None),
    "body still being sent": (send_body, None),
    "closed flows": (close_flows, None),
    "every other upstream busy": (occupy_others, "overloaded"),
    "no other upstream": (remove_others, "no-alternative"),
    "only cold upstreams": (chill_others, "no-alternative"),
    "drain": (
        lambda scene: update(scene, make_stalled(status=AnnouncedStatus.DRAINING)),
        "upstream-changed",
    ),
    "restart": (lambda scene: update(scene, make_stalled(started_at_ms=2000)), "upstream-changed"),
    "warm-up": (
        lambda scene: update(
            scene, msgspec.structs.replace(make_stalled(), warmup_ends_at=at(60.0))
        ),
        "upstream-changed",
    ),
    "removed route": (
        lambda scene: replace_route(scene, address=Address("9:9")),
        "route-removed",
    ),
    "route of another service": (
        lambda scene: replace_route(scene, targets=(WeightedService(ServiceId("other"), 1),)),
        "route-removed",
    ),
    "route that may not be repeated now": (
        lambda scene: replace_route(scene, retryability=Retryability.NON_IDEMPOTENT),
        "route-removed",
    ),
}


@pytest.mark.parametrize("name", GUARDS)
@pytest.mark.parametrize("is_judged", [False, True])
def test_each_guard_alone_prevents_resets(scene, name, is_judged):
    """Without the guard, the same packets reset at least one flow (the tests above)."""
    change, refusal = GUARDS[name]
    if is_judged:
        judge(scene)
    # A body that is still being sent has been stalled for less than the time limit at 1.7 s.
    stall(scene, change=change, copies=(0.2, 0.6), until=1.7)
    assert not scene.resets
    if refusal is not None:
        assert scene.router.count_packets()[f"not-repeated-{refusal}"] >= 1


def test_no_flow_is_reset_while_the_whole_service_is_slow(scene):
    """No upstream answers a request that started later, so the fault may be on this side."""
    stall(scene, change=judge, peers=False)
    assert not scene.resets
    assert scene.router.count_packets()["not-repeated-no-peer-answers"] >= 1


def test_no_flow_is_reset_while_most_upstreams_are_judged_unresponsive(scene):
    """Two of three upstreams are judged, and both of the others answer this balancer."""
    scene.router.repeats.record_judgement(PEER, RUN, at(60.0))
    stall(scene, change=judge)
    assert not scene.resets
    assert scene.router.count_packets()["not-repeated-most-unresponsive"] >= 1


def test_no_flow_is_reset_while_fewer_upstreams_answer_than_are_stalled(scene):
    """Two of six are stalled, below the limit of the service, but only one answers here."""
    for number in (4, 5, 6):
        update(scene, make_visible_in(UpstreamId(f"i-{number}"), "a"))
    scene.advance(1.0)
    scene.send(b"x5", PEER)
    judge(scene)
    stall(scene, flows=(b"f1",), peers=False, copies=COPY_TIMES[:1])
    scene.serve(b"q4", OTHER_PEER)
    scene.send(b"f1", STALLED)
    scene.advance(scene.now + 0.3)
    assert not scene.resets
    assert scene.router.count_packets()["not-repeated-most-unresponsive"] >= 1


def test_no_flow_is_reset_while_another_data_centre_is_cut_off(scene):
    """The upstreams of the own data centre answer; none of the other one does."""
    update(scene, make_visible_in(STALLED, "b"))
    stall(scene, change=judge)
    assert not scene.resets
    assert scene.router.count_packets()["not-repeated-no-peer-answers"] >= 1


def test_a_request_within_twice_the_longest_response_time_is_not_stalled(scene):
    scene.send(b"long5", PEER)
    scene.advance(0.9)
    scene.send(b"long5", PEER, ack=900, data=0)
    stall(scene, change=judge, copies=(0.2, 0.6), until=2.7)
    assert not scene.resets


def test_a_request_within_its_latency_target_is_not_stalled(scene):
    replace_route(scene, target_ms=1500)
    stall(scene, change=judge, copies=(0.2, 0.6), until=2.4)
    assert not scene.resets


@pytest.mark.parametrize("kind", [Retryability.NON_IDEMPOTENT, Retryability.UPLOAD])
def test_requests_that_may_not_be_repeated_earn_and_cause_nothing(kind):
    scene = Scene()
    replace_route(scene, retryability=kind)
    scene.save_budget()
    assert scene.router.repeats.tokens == 0.0
    scene.router.repeats.tokens = MAX_TOKENS
    stall(scene, change=judge)
    assert not scene.resets


def test_resets_stay_within_the_share_of_the_requests_seen():
    """Without saved budget the first requests earn less than one reset."""
    scene = Scene()
    stall(scene, change=judge)
    assert not scene.resets
    assert scene.router.count_packets()["not-repeated-no-budget"] >= 1


def test_a_lost_reset_is_sent_again_for_the_next_copy_without_further_budget(scene):
    stall(scene, flows=(b"f1",), change=judge, copies=(0.2, 0.6, 1.4), until=1.85)
    scene.advance(2.5)
    assert set(reset_flows(scene)) == {b"f1"} and len(scene.resets) <= 2
    assert scene.router.count_packets()["reset-stalled-judged"] == 1
    assert scene.router.repeats.tokens >= MAX_TOKENS - 1.0


FLOWS = (b"1a", b"2b", b"3c", b"4d")
flow_numbers = st.integers(0, len(FLOWS) - 1)
upstreams = st.sampled_from([STALLED, STALLED, STALLED, PEER])


class RandomTraffic(RuleBasedStateMachine):
    """No reset for a flow whose upstream has answered any flow since the request started.

    The rules keep their own record of requests and answers, from the packets alone.
    """

    def __init__(self):
        super().__init__()
        self.scene = Scene()
        self.scene.router.repeats.tokens = MAX_TOKENS
        self.requests = {}
        """Upstream and acknowledgement of the request of each flow, until an answer comes."""
        self.pending = set()
        """Flows whose own request has no answer; only these repeat data."""
        self.acks, self.sequences, self.homes = {}, {}, {}
        self.copies = self.reset_count = 0

    def drop_requests_of(self, name):
        self.requests = {flow: at for flow, at in self.requests.items() if at != name}

    @rule(number=flow_numbers, name=upstreams)
    def start_request(self, number, name):
        """Send new data; a flow stays at its first upstream, and its first packet is an answer."""
        flow = FLOWS[number]
        if flow not in self.homes:
            self.homes[flow], self.acks[flow], self.sequences[flow] = name, 1, 1
            self.drop_requests_of(name)
        self.sequences[flow] += 100
        self.scene.send(flow, self.homes[flow], ack=self.acks[flow], sequence=self.sequences[flow])
        self.requests[flow] = self.homes[flow]
        self.pending.add(flow)

    @rule(numbers=st.sets(flow_numbers, min_size=1))
    def copy_requests(self, numbers):
        for flow in [FLOWS[number] for number in sorted(numbers) if FLOWS[number] in self.pending]:
            self.copies += 1
            self.scene.send(
                flow, self.homes[flow], ack=self.acks[flow], sequence=self.sequences[flow]
            )

    @rule(number=flow_numbers)
    def answer(self, number):
        flow = FLOWS[number]
        if flow in self.pending:
            self.pending.remove(flow)
            self.acks[flow] += 700
            self.scene.send(flow, self.homes[flow], ack=self.acks[flow], data=0)
            self.drop_requests_of(self.homes[flow])

    @rule(seconds=st.sampled_from([0.2, 0.4]))
    def wait_with_copies(self, seconds):
        """All clients repeat their data; the peer answers, and the other evidence is there."""
        self.judge(STALLED)
        self.scene.router.repeats.longest_seconds.clear()
        self.copy_requests(set(range(len(FLOWS))))
        self.scene.serve(b"p9", OTHER_PEER, ack=1 + 1000 * self.copies)
        self.scene.router.repeats.tokens = MAX_TOKENS
        self.scene.advance(self.scene.now + seconds)

    @rule(seconds=st.sampled_from([0.05, 0.2, 0.4, 0.8]))
    def pass_time(self, seconds):
        self.scene.advance(self.scene.now + seconds)

    @rule()
    def suspend(self):
        self.scene.now += 2.0
        self.scene.tick(at(self.scene.now))

    def judge(self, name):
        self.scene.router.repeats.record_judgement(name, RUN, at(self.scene.now + 3.0))

    @invariant()
    def every_reset_flow_is_without_answers(self):
        for reset in self.scene.resets:
            assert self.requests.get(reset.flow) == reset.upstream
            assert reset.ack_number == self.acks[reset.flow]
        self.reset_count += len(self.scene.resets)
        self.scene.resets.clear()


RandomTraffic.TestCase.settings = hypothesis_settings(
    max_examples=150, stateful_step_count=40, deadline=None
)


def test_the_random_traffic_reaches_resets():
    """The state machine would say nothing if its rules led to none."""
    machine = RandomTraffic()
    machine.start_request(0, STALLED)
    for _ in range(4):
        machine.wait_with_copies(0.2)
    assert machine.scene.resets
    machine.every_reset_flow_is_without_answers()


TestRandomTraffic = RandomTraffic.TestCase
