"""Tests of the assignment of slots to upstreams."""

from collections import Counter
from math import ceil

from hypothesis import given
from hypothesis import strategies as st

from chicorypost.base import UpstreamId
from chicorypost.flows import plan_moves

NAMES = st.sampled_from([UpstreamId(f"u{index}") for index in range(8)])
WEIGHTS = st.dictionaries(NAMES, st.integers(1, 5000), min_size=1)


def apply(assigned, moves):
    return [moves.get(slot, name) for slot, name in enumerate(assigned)]


@given(WEIGHTS, WEIGHTS, st.integers(1, 300))
def test_every_upstream_holds_its_share_and_only_the_difference_moves(first, second, count):
    empty = [None] * count
    before = apply(empty, plan_moves(empty, empty, first))
    moves = plan_moves(before, before, second)
    after = apply(before, moves)
    total, held = sum(second.values()), Counter(after)
    assert all(held[name] <= ceil(count * weight / total) for name, weight in second.items())
    assert set(held) <= set(second)
    surplus = sum((Counter(before) - Counter(after)).values())
    assert len(moves) == surplus


def test_a_service_without_upstreams_moves_nothing():
    assert plan_moves([UpstreamId("u1")], [UpstreamId("u1")], {}) == {}


def test_a_slot_goes_back_to_the_upstream_with_its_older_flows():
    old, new = UpstreamId("old"), UpstreamId("new")
    moves = plan_moves([new] * 4, [new, old, old, new], {old: 1, new: 1})
    assert moves == {1: old, 2: old}
