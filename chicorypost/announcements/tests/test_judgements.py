"""Judgements on their way from the feed of a control instance to a balancer."""

import msgpack
import msgspec
import pytest

from chicorypost.announcements import (
    FeedPage,
    JudgedState,
    Judgement,
    JudgementsChanged,
    ListedUpstream,
    PeerConnected,
    PeerDisconnected,
    PeersChanged,
    RunJudgement,
    SeedsChanged,
)
from chicorypost.announcements.tests.network import SETTINGS, Network
from chicorypost.announcements.tests.test_table import ORDERS, announce
from chicorypost.base import InstanceId, Version, decode, encode
from chicorypost.observations import ObservationSettings

C1, C2, C3 = InstanceId("c1"), InstanceId("c2"), InstanceId("c3")
UNRESPONSIVE = Judgement(JudgedState.UNRESPONSIVE)
RUN_MS = 1000


@pytest.fixture
def network():
    network = Network([C1, C2])
    network.announce(C1, announce())
    return network


def judge(network, control, judgement, run_ms=RUN_MS):
    item = RunJudgement(run_ms, judgement) if judgement is not None else None
    network.deliver(control, JudgementsChanged({ORDERS: item}))


def judged(network):
    return network.visible_upstreams[ORDERS].judgement


def test_a_judgement_reaches_the_balancer_and_ends_there(network):
    judge(network, C1, UNRESPONSIVE)
    assert judged(network) == UNRESPONSIVE
    judge(network, C1, None)
    assert judged(network) is None


@pytest.mark.parametrize(
    "first, second, merged",
    [
        (UNRESPONSIVE, None, UNRESPONSIVE),
        (None, Judgement(JudgedState.SLOW, 250), Judgement(JudgedState.SLOW, 250)),
        (Judgement(JudgedState.SLOW, 250), UNRESPONSIVE, UNRESPONSIVE),
        (
            Judgement(JudgedState.SLOW, 250),
            Judgement(JudgedState.SLOW, 400),
            Judgement(JudgedState.SLOW, 250),
        ),
    ],
)
def test_two_control_instances_that_disagree_are_merged(network, first, second, merged):
    """Failure: a control instance that few balancers reach has no reports and no judgement."""
    judge(network, C1, first)
    judge(network, C2, second)
    assert judged(network) == merged


def test_a_control_instance_that_restarts_has_no_judgement_of_its_earlier_run(network):
    """Failure: without a connection nobody would take the judgement back."""
    judge(network, C1, UNRESPONSIVE)
    network.stop(C1)
    assert judged(network) is None
    network.start(C1, 9, is_restored=True)
    assert judged(network) is None
    judge(network, C1, UNRESPONSIVE)
    assert judged(network) == UNRESPONSIVE


def test_a_judgement_ends_with_the_last_connection(network):
    """Failure: a balancer that is cut off would avoid an upstream for as long as that lasts."""
    judge(network, C1, UNRESPONSIVE)
    network.stop(C1)
    network.stop(C2)
    assert judged(network) is None
    assert not network.visible_upstreams[ORDERS].is_silent


def test_only_control_instances_count_that_this_balancer_would_report_to():
    """Failure: balancers that are cut off from an upstream and from the first two control instances
    report to the third one, where the answers that other balancers get contradict nothing."""
    network = Network([C1, C2, C3])
    network.announce(C1, announce())
    judge(network, C3, UNRESPONSIVE)
    assert judged(network) is None
    network.stop(C1)
    assert judged(network) == UNRESPONSIVE
    network.start(C1, 9, is_restored=True)
    assert judged(network) is None
    assert SETTINGS.judging_controls == ObservationSettings().report_targets


def test_a_judgement_ends_with_a_control_instance_that_is_removed(network):
    """Failure: the balancer closes the connection to a member that was removed and forgets its
    feed first, so neither a page nor the loss of the connection takes the judgement back."""
    judge(network, C1, UNRESPONSIVE)
    network.deliver(network.balancer, SeedsChanged((C2,)))
    network.deliver(C2, PeersChanged((), (C2,)))
    network.deliver(C1, PeersChanged((C2,), (C2,)))
    assert C1 not in network.view.feeds and judged(network) is None


def test_a_judgement_holds_again_after_a_short_loss_of_the_connection(network):
    """Failure: the page after the loss has only what has changed, and the judgement has not."""
    judge(network, C1, UNRESPONSIVE)
    network.deliver(network.balancer, PeerDisconnected(C1))
    assert judged(network) is None
    network.deliver(network.balancer, PeerConnected(C1))
    assert judged(network) == UNRESPONSIVE


def test_a_new_run_of_an_upstream_does_not_inherit_the_judgement(network):
    """Pattern: a crashed upstream is back before the control instance judges anew."""
    judge(network, C1, UNRESPONSIVE)
    network.announce(C2, announce(started_at_ms=2000))
    assert judged(network) is None


def test_a_judgement_is_neither_saved_nor_sent_to_other_control_instances(network):
    """Failure: a judgement on disk would outlive what it rests on."""
    saved = network.registries[C1].dissemination.change_number
    judge(network, C1, UNRESPONSIVE)
    network.announce(C1, announce(sequence=2))
    assert network.registries[C1].dissemination.change_number == saved
    listed = network.registries[C1].list_all_upstreams(network.now)
    assert [item.judgement for item in listed] == [None]
    assert not network.registries[C2].feed.judgements


def test_records_of_earlier_builds_are_read_and_those_of_this_build_are_read_by_them():
    """Failure: builds are replaced one machine after the other."""

    class EarlierListed(msgspec.Struct, array_like=True):
        announcement: object
        is_silent: bool
        age_ms: int

    page = FeedPage(
        1, 1, True, True, (ListedUpstream(announce(), False, 7, UNRESPONSIVE),), (C1,), Version(0)
    )
    assert decode(encode(page)) == page
    version, body = msgpack.unpackb(encode(page))
    assert msgspec.convert(body[5][0], EarlierListed).age_ms == 7
    body[5][0].pop()
    earlier = decode(msgpack.packb([version, body]))
    assert isinstance(earlier, FeedPage) and earlier.listed[0].judgement is None
