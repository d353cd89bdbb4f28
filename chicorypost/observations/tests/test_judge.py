"""Judgements of a control instance by the reports of balancers, right ones and others."""

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicorypost.announcements import (
    JudgedState,
    JudgementsChanged,
    LeaveNotice,
    PeerDisconnected,
)
from chicorypost.announcements._table import AnnouncementTable
from chicorypost.announcements.tests.test_table import announce
from chicorypost.base import (
    InstanceId,
    Instant,
    Received,
    Tick,
    Undecodable,
    UpstreamId,
    decode,
    encode,
)
from chicorypost.events import Emit
from chicorypost.observations import (
    MAX_OBSERVATIONS,
    Observation,
    ObservationJudge,
    ObservationSettings,
    ObservedState,
    ReportObservations,
)

SETTINGS = ObservationSettings()
NAMES = [UpstreamId(f"i-{number}") for number in range(7)]
RUN_MS = 1000
"""Start of the run of each upstream."""
HUNG, OTHER = NAMES[0], NAMES[1]


def make_table():
    table = AnnouncementTable()
    for number, name in enumerate(NAMES):
        table.record_announcement(announce(name, host=f"10.0.0.{number + 1}"), Instant(0.0))
    return table


class Control:
    """A judge that gets reports and the ticks that it asks for."""

    def __init__(self):
        self.table = make_table()
        self.judge = ObservationJudge(SETTINGS, self.table, Instant(0.0))
        self.now = 0.0
        self.numbers = {}
        self.events = []

    def report(self, balancer, *observations, run=1, number=None):
        if number is None:
            number = self.numbers[balancer] = self.numbers.get(balancer, 0) + 1
        report = ReportObservations(run, number, observations)
        self.deliver(Received(InstanceId(balancer), report))

    def deliver(self, event):
        effects = self.judge.handle(event, Instant(self.now))
        self.events += [effect for effect in effects if isinstance(effect, Emit)]
        return effects

    def run(self, seconds=0.2):
        """Advance the time; return the states judged at its end."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            deadline = self.judge.next_deadline()
            if deadline is not None and deadline <= self.now:
                self.deliver(Tick())
        return {name: item.judgement.state for name, item in self.judge.judgements.items()}


@pytest.fixture
def control():
    return Control()


def sees(name, state=ObservedState.UNRESPONSIVE, percent=100, run_ms=RUN_MS):
    return Observation(name, run_ms, state, percent)


def responds(name):
    return sees(name, ObservedState.RESPONSIVE)


def test_an_upstream_that_hangs_is_judged_by_two_balancers_until_their_reports_expire(control):
    """Pattern: an upstream hangs, and each balancer has few flows there."""
    control.report("b1", sees(HUNG))
    assert control.run() == {}
    control.report("b2", sees(HUNG))
    assert control.run() == {HUNG: JudgedState.UNRESPONSIVE}
    assert control.run(SETTINGS.observation_seconds - 0.6) == {HUNG: JudgedState.UNRESPONSIVE}
    assert control.run(1.2) == {}
    assert control.judge.next_deadline() is None


def test_one_balancer_with_a_broken_link_accuses_everyone_in_vain(control):
    """Pattern: one link is broken. Its reports must not add up with single true ones."""
    control.report("broken", *map(sees, NAMES))
    control.report("b1", sees(HUNG))
    assert control.run() == {}
    control.report("b2", sees(HUNG))
    assert control.run() == {HUNG: JudgedState.UNRESPONSIVE}


def test_no_more_than_half_of_a_service_is_judged_at_a_time(control):
    """Pattern: several balancers each accuse others; most evidence goes first."""
    for number in range(6):
        control.report(f"b{number}", *(sees(NAMES[(number + step) % 7]) for step in range(3)))
    control.report("b9", sees(NAMES[3]))
    judged = control.run()
    assert len(judged) == 3 and NAMES[3] in judged


def test_balancers_with_answers_end_a_judgement(control):
    """Failure: two balancers are cut off from an upstream that serves all others."""
    control.report("b1", sees(HUNG))
    control.report("b2", sees(HUNG))
    control.run()
    control.report("b3", responds(HUNG))
    assert HUNG in control.run()
    control.report("b4", responds(HUNG))
    assert control.run() == {}


def test_two_balancers_with_answers_suffice_against_many_that_are_cut_off(control):
    """Failure: a cut separates the balancers of one data centre from an upstream that serves all
    others. Few of these have an answer in the same 3 s, each using it once in that time."""
    for number in range(27):
        control.report(f"cut-{number}", sees(HUNG))
    assert HUNG in control.run()
    control.report("b1", responds(HUNG))
    control.report("b2", responds(HUNG))
    assert control.run() == {}


def test_reporters_are_forgotten_also_without_observations(control):
    """Failure: balancers come and go under new names; each would be remembered for good."""
    for number in range(50):
        control.report(f"b{number}")
    control.run(SETTINGS.reporter_seconds + 0.1)
    control.report("next")
    assert list(control.judge.reporters) == ["next"]


def test_slow_upstreams_are_judged_by_the_median_and_small_changes_are_not_sent(control):
    """Pattern: an upstream is slow by 5; each change of the figure would cost a page."""
    for number, percent in enumerate((200, 250, 800)):
        control.report(f"b{number}", sees(OTHER, ObservedState.SLOW, percent))
    assert control.run() == {OTHER: JudgedState.SLOW}
    assert control.judge.judgements[OTHER].judgement.slowness_percent == 250
    control.report("b0", sees(OTHER, ObservedState.SLOW, 300))
    control.now += 0.2
    effects = control.deliver(Tick())
    assert not any(isinstance(effect, JudgementsChanged) for effect in effects)


@pytest.mark.parametrize("run, number", [(5, 3), (5, 2), (4, 9)])
def test_a_repeated_or_late_report_or_one_of_an_earlier_run_changes_nothing(control, run, number):
    """Failure: a message is delivered again, out of order, or after the balancer's restart."""
    control.report("b1", run=5, number=3)
    control.report("b2", sees(HUNG))
    control.report("b1", sees(HUNG), run=run, number=number)
    assert control.run() == {}
    assert control.judge.counters["outdated"] == 1


def test_a_balancer_whose_clock_was_set_back_is_heard_again(control):
    """Failure: its run number is lower after a restart; this may last a limited time only."""
    control.report("b1", run=2**61, number=1)
    control.run(SETTINGS.reporter_seconds + 0.1)
    control.report("b1", sees(HUNG), run=1, number=1)
    control.report("b2", sees(HUNG))
    assert HUNG in control.run()


def test_a_report_of_an_earlier_run_of_the_upstream_judges_nothing(control):
    """Pattern: a crashed upstream is back; its new run must not inherit the judgement."""
    for balancer in ("b1", "b2"):
        control.report(balancer, sees(HUNG))
    assert HUNG in control.run()
    control.table.record_announcement(announce(HUNG, started_at_ms=2000), Instant(control.now))
    assert control.run(0.6) == {}


def test_upstreams_that_have_left_are_not_judged(control):
    for balancer in ("b1", "b2"):
        control.report(balancer, sees(HUNG), sees(UpstreamId("unknown")))
    control.table.record_leave(LeaveNotice(HUNG, RUN_MS, None))
    assert control.run() == {}


def test_the_reports_of_a_balancer_that_is_gone_no_longer_count(control):
    """Failure: a balancer with a broken link stops; nothing else would take its word back."""
    for balancer in ("b1", "b2"):
        control.report(balancer, sees(HUNG))
    assert HUNG in control.run()
    control.deliver(PeerDisconnected(InstanceId("b1")))
    assert control.run() == {}


ODD_OBSERVATIONS = {
    "empty name": sees(UpstreamId("")),
    "long name": sees(UpstreamId("x" * 256)),
    "negative run": sees(HUNG, run_ms=-1),
    "slowness below the usual": sees(HUNG, ObservedState.SLOW, 99),
    "absurd slowness": sees(HUNG, ObservedState.SLOW, 2**62),
}


@pytest.mark.parametrize("odd", ODD_OBSERVATIONS.values(), ids=ODD_OBSERVATIONS)
def test_an_odd_observation_is_ignored_and_the_others_hold(control, odd):
    for balancer in ("b1", "b2"):
        control.report(balancer, odd, sees(OTHER))
    assert control.run() == {OTHER: JudgedState.UNRESPONSIVE}
    ignored = [event for event in control.events if event.spec.name == "observation-ignored"]
    assert len(ignored) == 2


@pytest.mark.parametrize(
    "run, number, count", [(-1, 1, 1), (1, -1, 1), (2**62, 1, 1), (1, 1, MAX_OBSERVATIONS + 1)]
)
def test_an_odd_report_is_refused_whole(control, run, number, count):
    control.report("b1", *[sees(HUNG)] * count, run=run, number=number)
    control.report("b2", sees(HUNG))
    assert control.run() == {}
    assert control.judge.counters == {"refused": 1, "accepted": 1}


values = st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text() | st.floats()
odd_bodies = st.recursive(values, lambda items: st.lists(items, max_size=5), max_leaves=12)


@given(st.lists(odd_bodies, max_size=4), st.binary(max_size=8), st.integers(0, 60))
def test_odd_bytes_are_refused_or_make_a_report_that_the_judge_takes(fields, junk, cut):
    """Failure: a damaged or foreign message; it may cost its connection, never the process."""
    whole = encode(ReportObservations(1, 1, (sees(HUNG),)))
    for data in (msgpack.packb([1, [815, *fields]]), whole[:cut] + junk + whole[cut:]):
        message = decode(data)
        if not isinstance(message, Undecodable):
            control = Control()
            control.deliver(Received(InstanceId("b1"), message))
            assert control.run() == {}
