"""Why copies of an opening don't go to a second upstream before the first one is overdue.

A model of the rule "the flow belongs to the upstream whose cookie the client's first packet after
the opening carries" in docs/design/repeats.md. Two working upstreams answer one opening; the client
opens the flow by the first answer, but puts the cookie of the last one into its packets. Each test
guards against the rule being added although an order of packets breaks it.
"""

from itertools import permutations

import pytest

FIRST, SECOND = "first", "second"
EVENTS = ("answer-first", "answer-second", "packet-1", "packet-2")


def play(order, lost=(), elsewhere=()):
    """Return where each packet of the client goes, and the upstream that holds its flow.

    `order` lists the answers as they arrive at the client and the client's packets as it sends
    them; packets in `lost` don't arrive, and those in `elsewhere` pass another balancer, which
    forwards by the cookie alone.
    """
    holder = cookie = decided = None
    destinations = []
    for event in order:
        kind, _, name = event.partition("-")
        if kind == "answer":
            holder, cookie = holder or name, name
        elif event in elsewhere:
            destinations.append(cookie)
        elif event not in lost:
            decided = decided or cookie
            destinations.append(decided)
    return destinations, holder


def list_orders():
    """Return the orders in which the client sends its packets after at least one answer."""
    return [
        order
        for order in permutations(EVENTS)
        if order.index("packet-1") < order.index("packet-2") and order[0].startswith("answer")
    ]


def find_broken(**faults):
    broken = []
    for order in list_orders():
        destinations, holder = play(order, **faults)
        if any(destination != holder for destination in destinations):
            broken.append(order)
    return broken


def test_a_late_answer_after_the_deciding_packet_breaks_nothing():
    assert ("answer-first", "packet-1", "answer-second", "packet-2") not in find_broken()
    assert ("answer-second", "packet-1", "packet-2", "answer-first") not in find_broken()


@pytest.mark.parametrize(
    "order",
    [
        ("answer-first", "answer-second", "packet-1", "packet-2"),
        ("answer-second", "answer-first", "packet-1", "packet-2"),
    ],
)
def test_both_answers_before_the_next_packet_break_the_flow(order):
    """The packet carries the cookie of the last answer and the numbers of the first one."""
    assert order in find_broken()


def test_a_lost_deciding_packet_breaks_the_flow():
    order = ("answer-first", "packet-1", "answer-second", "packet-2")
    assert order in find_broken(lost=("packet-1",))


@pytest.mark.parametrize("moved", ["packet-1", "packet-2"])
def test_a_deciding_or_later_packet_through_another_balancer_breaks_the_flow(moved):
    order = ("answer-first", "packet-1", "answer-second", "packet-2")
    assert order in find_broken(elsewhere=(moved,))
