"""What a balancer reports of its upstreams, and how it acts on judgements."""

from random import Random
from typing import Any

import pytest

from chicorypost.announcements import (
    JudgedState,
    Judgement,
    PeerConnected,
    PeerDisconnected,
    RoutingApplied,
    VisibleUpstream,
    VisibleUpstreamsChanged,
)
from chicorypost.announcements.tests.test_table import announce
from chicorypost.base import InstanceId, Instant, Send, Tick, UpstreamId, encode
from chicorypost.cookies import BalancingSettings, CookieRouter, make_cookie
from chicorypost.cookies._observer import UpstreamObserver
from chicorypost.cookies.tests.test_router import (
    BALANCER_DATA_CENTRE,
    SETTINGS,
    document,
    following,
    opening,
)
from chicorypost.observations import ObservationSettings, ObservedState
from chicorypost.transport import encode_frame

NAMES = [UpstreamId(f"i-{number}") for number in range(8)]
HUNG = NAMES[0]
CONTROLS = [InstanceId(f"10.9.0.{number}:80") for number in range(1, 5)]
UNRESPONSIVE = Judgement(JudgedState.UNRESPONSIVE)
OBSERVATIONS = ObservationSettings()


class Balancer:
    """A router and its observer, with the ticks that they ask for."""

    def __init__(self, is_shared=True, names=NAMES):
        self.now = 100.0
        balancing = BalancingSettings(shared_observations=is_shared)
        start = Instant(self.now)
        self.router: Any = CookieRouter(SETTINGS, BALANCER_DATA_CENTRE, Random(1), start, balancing)
        self.router.handle(RoutingApplied(document()), start)
        self.see(*map(self.visible, names))
        self.observer = None
        judged = self.router.judged_upstreams
        if judged is not None:
            self.observer = UpstreamObserver(OBSERVATIONS, self.router, judged, 7, start)
            for control in reversed(CONTROLS):
                self.observer.handle(PeerConnected(control), start)
        self.sent = []
        self.flows = 0

    @staticmethod
    def visible(name, judgement=None, started_at_ms=1000):
        call = announce(name, started_at_ms=started_at_ms, host=f"10.0.0.{int(name[2:]) + 1}")
        return VisibleUpstream(call, False, Instant(0.0), judgement)

    def see(self, *seen):
        self.router.handle(VisibleUpstreamsChanged(seen), Instant(self.now))

    def judge(self, name, judgement, **fields):
        self.see(self.visible(name, judgement, **fields))

    def run(self, seconds):
        """Advance the time; return what the reports since then say."""
        sent_before = len(self.sent)
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = round(self.now + 0.05, 6)
            machines: list[Any] = [self.router, *([self.observer] if self.observer else [])]
            for machine in machines:
                if machine.next_deadline() <= self.now:
                    effects = machine.handle(Tick(), Instant(self.now))
                    self.sent += [item for item in effects if isinstance(item, Send)]
        return [
            {item.upstream: item.state for item in sent.message.observations}
            for sent in self.sent[sent_before:]
            if sent.to == CONTROLS[0]
        ]

    def send(self, name, flow, ack_number=1, data=100):
        cookie = make_cookie(self.visible(name).announcement.endpoint)
        packet = following(flow, cookie, ack_number, data)
        self.router.route(packet, Instant(self.now))

    def request(self, name):
        """Send a request on a new flow; return the flow."""
        self.flows += 1
        flow = b"%d" % self.flows
        self.send(name, flow)
        return flow

    def exchange(self, *names, seconds=0.05):
        """Send a request to each upstream, which is answered after a time."""
        flows = {name: self.request(name) for name in names}
        reports = self.run(seconds)
        for name, flow in flows.items():
            self.send(name, flow, ack_number=500, data=0)
        return reports

    def open_flows(self, count=60):
        chosen = set()
        for _ in range(count):
            self.flows += 1
            decision = self.router.route(opening(b"%d" % self.flows), Instant(self.now))
            chosen.add(decision.upstream)
        return chosen


@pytest.fixture
def balancer():
    balancer = Balancer()
    for _ in range(3):
        balancer.exchange(*NAMES)
    balancer.run(1.2)
    return balancer


def hang(balancer, seconds=0.9):
    """Leave a request unanswered while the others are answered; return the reports."""
    flow = balancer.request(HUNG)
    balancer.run(0.05)
    return flow, balancer.exchange(*NAMES[1:], seconds=0.1) + balancer.run(seconds - 0.15)


def test_a_request_without_an_answer_is_reported_though_openings_are_answered(balancer):
    """Pattern: an upstream hangs while its health check is good, and it accepts flows."""
    _, reports = hang(balancer)
    assert reports == [{HUNG: ObservedState.UNRESPONSIVE}]
    balancer.send(HUNG, b"accepted", data=0)
    assert balancer.run(1.0) == [{HUNG: ObservedState.UNRESPONSIVE}]


def test_a_crashed_upstream_is_reported_after_two_unanswered_openings(balancer):
    """Pattern: an upstream crashes. One unanswered opening may be a lost packet."""
    first = balancer.router.route(opening(b"f"), Instant(balancer.now)).upstream
    others = [name for name in NAMES if name != first]
    balancer.run(0.2)
    balancer.router.route(opening(b"f", copies=1), Instant(balancer.now))
    balancer.exchange(*others, seconds=0.1)
    assert balancer.run(0.3) == []
    balancer.router.route(opening(b"f", copies=2), Instant(balancer.now))
    assert balancer.run(0.3) == [{first: ObservedState.UNRESPONSIVE}]


def test_a_suspicion_that_is_not_tested_again_is_no_lasting_evidence(balancer):
    """Failure: balancers are cut off from a good upstream. Their suspicions last up to 8 s, and two
    of them would keep it out of use everywhere for most of the time."""
    suspected = balancer.router.suspected_upstreams
    for seconds in (1.2, 1.2, 2.2, 4.2):
        balancer.run(seconds)
        balancer.exchange(*NAMES[1:], seconds=0.1)
        opened_at, now = Instant(balancer.now - 0.2), Instant(balancer.now)
        suspected.record_unanswered_opening(HUNG, opened_at, now)
    assert balancer.run(1.0)[-1] == {HUNG: ObservedState.UNRESPONSIVE}
    assert balancer.run(2.4)[-1] == {}
    assert suspected.is_suspected(HUNG, Instant(balancer.now + 4.0))


def test_a_slow_upstream_is_reported_with_its_factor(balancer):
    """Pattern: an upstream is slow by 5; its responses still come."""
    for _ in range(6):
        balancer.exchange(*NAMES[1:])
        balancer.exchange(HUNG, seconds=0.3)
    reports = balancer.run(1.0)
    assert reports and all(report == {HUNG: ObservedState.SLOW} for report in reports)
    (observation,) = balancer.sent[-1].message.observations
    assert 150 <= observation.slowness_percent <= 300


def test_an_answer_withdraws_the_report_and_is_reported_itself(balancer):
    flow, _ = hang(balancer)
    balancer.send(HUNG, flow, ack_number=500, data=0)
    assert balancer.run(1.0)[0] == {HUNG: ObservedState.RESPONSIVE}
    assert balancer.run(OBSERVATIONS.observation_seconds)[-1] == {}
    assert balancer.run(3.0) == []


def test_late_answers_after_a_hang_are_not_reported_as_slowness(balancer):
    """Pattern: a hang of 6 s ends, and what waited there is answered; it would be slow for 10 s."""
    flow = balancer.request(HUNG)
    for _ in range(12):
        balancer.exchange(*NAMES[1:], seconds=0.5)
    balancer.send(HUNG, flow, ack_number=500, data=0)
    balancer.exchange(HUNG)
    reports = balancer.run(10.0)
    assert reports and not any(ObservedState.SLOW in report.values() for report in reports)


def test_evidence_of_an_earlier_run_of_the_upstream_is_withdrawn(balancer):
    hang(balancer)
    balancer.judge(HUNG, None, started_at_ms=2000)
    assert balancer.run(0.5) == [{}]


def test_a_balancer_whose_own_link_is_broken_accuses_nobody(balancer):
    """Failure: nothing is answered any more, or hardly anything."""
    for name in NAMES:
        balancer.request(name)
    assert balancer.run(2.0) == []
    balancer.exchange(NAMES[7])
    assert balancer.run(1.0) == []


def test_the_time_of_a_pause_is_no_evidence(balancer):
    """Failure: the process is suspended; what was answered meanwhile is still in its socket."""
    balancer.request(HUNG)
    balancer.run(0.05)
    balancer.exchange(*NAMES[1:])
    balancer.now += 3.0
    assert balancer.run(0.3) == []


def test_reports_go_to_the_first_two_connected_control_instances(balancer):
    """Failure: one of them is lost; the next one must know within a second."""
    hang(balancer)
    assert [item.to for item in balancer.sent] == CONTROLS[:2]
    balancer.observer.handle(PeerDisconnected(CONTROLS[0]), Instant(balancer.now))
    balancer.sent.clear()
    balancer.run(0.6)
    assert [item.to for item in balancer.sent] == CONTROLS[1:3]


def test_the_byte_rate_of_reports_is_limited():
    """Pattern: half of 90 upstreams hang, and the evidence changes all the time."""
    names = [UpstreamId(f"i-{number}") for number in range(90)]
    balancer = Balancer(names=names)
    for _ in range(3):
        balancer.exchange(*names)
    balancer.run(1.0)
    for name in names[:45]:
        balancer.request(name)
        balancer.exchange(*names[50:55])
    balancer.sent.clear()
    balancer.run(4.0)
    assert balancer.sent
    assert sum(len(encode_frame(item.message)) for item in balancer.sent) < 4 * 1200


def test_nothing_is_observed_and_judgements_are_not_acted_on_without_the_setting():
    balancer = Balancer(is_shared=False)
    balancer.judge(HUNG, UNRESPONSIVE)
    assert HUNG in balancer.open_flows(200)
    assert "judged_unresponsive" not in balancer.router.dump()


def test_new_flows_avoid_an_upstream_that_is_judged_unresponsive(balancer):
    """Pattern: others see it hang; this balancer has no request there."""
    balancer.judge(HUNG, UNRESPONSIVE)
    assert balancer.open_flows(200) == set(NAMES[1:])


def test_own_fresh_answers_take_precedence_unless_a_request_waits_since(balancer):
    """Failure: the balancers that report are cut off from an upstream that serves this one."""
    balancer.judge(HUNG, UNRESPONSIVE)
    balancer.exchange(HUNG)
    assert HUNG in balancer.open_flows(200)
    assert {HUNG: ObservedState.RESPONSIVE} in balancer.run(0.5)
    balancer.request(HUNG)
    assert HUNG not in balancer.open_flows(200)


def test_an_answer_before_the_judgement_does_not_contradict_it(balancer):
    """Failure: answers from just before the hang would end each judgement at once."""
    balancer.exchange(HUNG)
    balancer.judge(HUNG, UNRESPONSIVE)
    assert balancer.run(1.0) == []


def test_a_contradiction_holds_after_it_has_ended_the_judgement(balancer):
    """Failure: balancers that are cut off go on accusing a good upstream; without the contradiction
    each end of the judgement brings it back, and the returns of balancers never come."""
    balancer.judge(HUNG, UNRESPONSIVE)
    balancer.exchange(HUNG)
    balancer.run(0.5)
    balancer.judge(HUNG, None)
    assert balancer.run(1.5) == [{HUNG: ObservedState.RESPONSIVE}]
    assert balancer.run(3.0)[-1] == {}


def test_judgements_exclude_no_more_than_half_of_the_service(balancer):
    """Failure: control instances judge wrongly, beside suspicions of this balancer."""
    for name in NAMES[:6]:
        balancer.judge(name, UNRESPONSIVE)
    assert len(balancer.open_flows(300)) == 4


def test_an_upstream_that_is_judged_slow_gets_fewer_flows(balancer):
    """Pattern: an upstream is slow by 5, and this balancer has hardly any response of it."""
    balancer.judge(HUNG, Judgement(JudgedState.SLOW, 250))
    flows = [
        balancer.router.route(opening(b"s%d" % number), Instant(balancer.now))
        for number in range(80)
    ]
    share = sum(decision.upstream == HUNG for decision in flows) / len(flows)
    assert 0.01 < share < 0.08


def test_balancers_return_at_different_times_after_a_judgement():
    """Pattern: a hang ends; the next flow of each of 88 balancers would go there together."""
    returned_at = []
    for seed in range(88):
        balancer = Balancer()
        balancer.router.judged_upstreams.random = Random(seed)
        balancer.judge(HUNG, UNRESPONSIVE)
        balancer.judge(HUNG, None)
        returned_at.append(balancer.router.judged_upstreams.returns_at[HUNG] - balancer.now)
    assert max(returned_at) < OBSERVATIONS.return_seconds
    for start in (0.0, 0.5, 1.0, 1.5):
        assert sum(start <= at < start + 0.5 for at in returned_at) < 40
    balancer.run(OBSERVATIONS.return_seconds)
    assert HUNG in balancer.open_flows(200)


def test_a_new_run_is_used_at_once(balancer):
    balancer.judge(HUNG, UNRESPONSIVE)
    balancer.judge(HUNG, None, started_at_ms=2000)
    assert HUNG in balancer.open_flows(200)


def test_a_report_of_a_seventh_of_the_upstreams_is_small():
    """Budget: 2 KB/s of control traffic; 11 of 75 upstreams, once a second to two instances."""
    names = [UpstreamId(f"i-{number}") for number in range(75)]
    balancer = Balancer(names=names)
    for _ in range(3):
        balancer.exchange(*names)
    balancer.run(1.0)
    for name in names[::7]:
        balancer.request(name)
    balancer.run(0.05)
    balancer.exchange(names[1])
    balancer.run(0.6)
    (report,) = {item.message for item in balancer.sent}
    assert len(report.observations) == 11 and len(encode(report)) < 300
