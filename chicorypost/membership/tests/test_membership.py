"""Tests of leases and views: formation, joins, leaves, losses, freezes, cuts."""

# mypy: disable-error-code="arg-type, union-attr"

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorypost.base import LeaseChanged, Send
from chicorypost.membership import Leave
from chicorypost.membership._messages import LeaseGrant
from chicorypost.membership.tests.simulation import MembershipSimulation, gent_names


def formed(count=7, **options):
    fleet = MembershipSimulation({"gent": count}, **options)
    fleet.start_instances()
    fleet.run(5.0)
    assert fleet.all_acting(*gent_names(*range(count)))
    return fleet


def first_grantors(fleet):
    record = fleet.machine("gent-0").book.newest("gent")
    return [grantor.instance for grantor in record.grantors]


@pytest.mark.parametrize("count", [1, 2, 3, 5, 7, 20])
def test_a_view_is_formed_once_all_have_abstained_for_one_lease(count):
    fleet = MembershipSimulation({"gent": count})
    fleet.start_instances()
    fleet.run(2.99)
    assert not fleet.acting_views()
    fleet.run(5.0)
    assert fleet.all_acting(*gent_names(*range(count)))


def test_a_majority_forms_a_view_and_latecomers_join_it():
    fleet = MembershipSimulation({"gent": 7})
    fleet.start_instances(*gent_names(0, 1, 2))
    fleet.run(15.0)
    assert not fleet.acting_views()
    fleet.start_instances(*gent_names(3))
    fleet.run(25.0)
    assert fleet.all_acting(*gent_names(0, 1, 2, 3))
    fleet.start_instances(*gent_names(4, 5, 6))
    fleet.run(27.0)
    assert fleet.all_acting(*gent_names(*range(7)))


@pytest.mark.parametrize("name", gent_names(*range(7)))
def test_a_graceful_leave_takes_effect_at_once_and_a_new_start_joins(name):
    fleet = formed()
    fleet.give(name, Leave())
    assert not fleet.machine(name).may_act(fleet.now)
    fleet.run(5.5)
    others = [other for other in gent_names(*range(7)) if other != name]
    assert fleet.all_act(*others)
    assert fleet.machine(name).has_left
    fleet.kill(name)
    fleet.start(name)
    fleet.run(7.0)
    assert fleet.all_act(*gent_names(*range(7)))


def test_grantors_lost_one_after_another_are_replaced_until_half_of_the_instances_are_left():
    fleet = formed(9)
    for at in (10, 20, 30, 40):
        fleet.kill(first_grantors_alive(fleet)[0])
        fleet.run(float(at))
        assert fleet.all_act(*fleet.machines)
    assert len(fleet.machines) == 5


def first_grantors_alive(fleet):
    newest = max(
        (machines[0].book.newest("gent") for machines in fleet.machines.values()),
        key=lambda record: record.epoch,
    )
    return [grantor.instance for grantor in newest.grantors]


def test_an_unplanned_loss_interrupts_no_other_instance():
    fleet = formed()
    fleet.kill("gent-2")
    start = len(fleet.effects)
    fleet.run(12.0)
    ends = [e for _, _, e in fleet.effects[start:] if isinstance(e, LeaseChanged)]
    gaps = lease_gaps(fleet, start)
    assert ends and max(gaps, default=0.0) < 0.1
    assert fleet.all_act(*gent_names(0, 1, 3, 4, 5, 6))


def lease_gaps(fleet, start):
    lost, gaps = {}, []
    for now, name, effect in fleet.effects[start:]:
        if isinstance(effect, LeaseChanged) and effect.end is None:
            lost[name] = now
        elif isinstance(effect, LeaseChanged) and name in lost:
            gaps.append(now - lost.pop(name))
    return gaps


@pytest.mark.parametrize("lost", [3, 4])
def test_a_majority_of_grantors_lost_at_once(lost):
    """Three of seven: a new view. Four of seven: nobody acts until one is back."""
    fleet = formed()
    for name in first_grantors(fleet)[:lost]:
        fleet.kill(name)
    fleet.run(20.0)
    if lost == 4:
        assert not fleet.acting()
        (
            fleet.start(first_grantors(fleet)[0])
            if "gent-0" in fleet.machines
            else fleet.start(
                next(name for name in gent_names(*range(7)) if name not in fleet.machines)
            )
        )
        fleet.run(35.0)
    assert fleet.all_act(*fleet.machines)


@pytest.mark.parametrize("name", gent_names(0, 3, 6))
def test_a_frozen_instance_finds_its_lease_gone_before_any_other_effect(name):
    fleet = formed()
    fleet.freeze(name)
    fleet.run(10.0)
    others = [other for other in gent_names(*range(7)) if other != name]
    assert fleet.all_act(*others)
    assert not fleet.machine(name).may_act(fleet.now)
    start = len(fleet.effects)
    fleet.thaw(name)
    mine = [effect for _, instance, effect in fleet.effects[start:] if instance == name]
    assert isinstance(mine[1], LeaseChanged) and mine[1].end is None
    assert not any(isinstance(effect, Send) for effect in mine[:1])
    fleet.run(14.0)
    assert fleet.all_act(*gent_names(*range(7)))


def test_a_grantor_that_restarts_without_memory_grants_nothing_in_the_old_view():
    fleet = formed()
    name = first_grantors(fleet)[0]
    old_epoch = fleet.machine(name).view.epoch
    fleet.kill(name)
    fleet.start(name)
    start = len(fleet.effects)
    fleet.run(12.0)
    grants = [
        effect.message
        for _, instance, effect in fleet.effects[start:]
        if instance == name and isinstance(effect, Send) and isinstance(effect.message, LeaseGrant)
    ]
    assert all(grant.epoch > old_epoch for grant in grants)
    assert fleet.all_act(*gent_names(*range(7)))


@pytest.mark.parametrize("names", list(itertools.combinations(range(7), 3)))
def test_a_cut_in_the_middle_lets_only_the_majority_act_and_heals(names):
    fleet = formed()
    side = set(gent_names(*names))
    fleet.cut = lambda sender, to: (sender in side) != (to in side)
    fleet.run(20.0)
    assert fleet.all_act(*(set(gent_names(*range(7))) - side))
    fleet.cut = lambda sender, to: False
    fleet.run(30.0)
    assert fleet.all_act(*gent_names(*range(7)))


def test_views_of_other_data_centres_are_learned_through_relays_and_survive_a_cut():
    fleet = MembershipSimulation({"gent": 5, "aalst": 3})
    fleet.start_instances()
    fleet.run(12.0)
    for machines in fleet.machines.values():
        views = machines[0].views
        assert {name: len(view.members) for name, view in views.items()} == {"gent": 5, "aalst": 3}
    fleet.is_cut = lambda sender, to: sender[:4] != to[:4]
    fleet.kill("gent-1")
    fleet.run(20.0)
    assert fleet.all_acting(*gent_names(0, 2, 3, 4)) and len(fleet.acting_views("aalst")) == 3
    fleet.is_cut = lambda sender, to: False
    fleet.run(32.0)
    assert {len(m[0].views["gent"].members) for m in fleet.machines.values()} == {4}


def test_a_whole_data_centre_that_restarts_gets_a_greater_epoch():
    fleet = formed()
    before = fleet.machine("gent-0").view.epoch
    for name in gent_names(*range(7)):
        fleet.kill(name)
    fleet.start()
    fleet.run(12.0)
    assert fleet.all_act(*gent_names(*range(7)))
    assert fleet.machine("gent-0").view.epoch > before


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "start", "freeze", "thaw", "leave", "cut", "heal", "wait"]),
        st.integers(0, 6),
        st.floats(0.0, 4.0),
    ),
    max_size=14,
)


@given(STEPS, st.integers(0, 2**16), st.sampled_from([(0.0, 0.01), (0.2, 0.3), (0.1, 2.0)]))
@settings(max_examples=30)
def test_no_two_views_and_no_two_starts_ever_act_at_the_same_time(steps, seed, network):
    """The check of `Fleet` runs after each event; at the end a quiet network heals everything."""
    fleet = MembershipSimulation({"gent": 7}, seed)
    fleet.start_instances()
    fleet.loss_rate, fleet.delay = network
    fleet.duplicate_rate = 0.2
    fleet.run(5.0)
    for what, number, seconds in steps:
        take_step(fleet, what, f"gent-{number}", number)
        fleet.run(fleet.now + seconds)
    for name in list(fleet.frozen):
        fleet.thaw(name)
    fleet.is_cut, fleet.loss_rate, fleet.delay = (lambda sender, to: False), 0.0, 0.002
    for name in gent_names(*range(7)):
        if name not in fleet.machines or fleet.membership_of(name).holder.leaving:
            fleet.start_instances(name)
    fleet.run(fleet.now + 40.0)
    assert fleet.all_acting(*gent_names(*range(7)))


def take_step(fleet, what, name, number):
    alive = name in fleet.machines
    match what:
        case "kill" if alive:
            fleet.kill(name)
        case "start" if not alive:
            fleet.start(name)
        case "freeze" if alive and name not in fleet.frozen:
            fleet.freeze(name)
        case "thaw" if name in fleet.frozen and alive:
            fleet.thaw(name)
        case "leave" if alive and name not in fleet.frozen:
            fleet.give(name, Leave())
        case "cut":
            side = set(gent_names(*range(number + 1)))
            fleet.cut = lambda sender, to: (sender in side) != (to in side)
        case "heal":
            fleet.cut = lambda sender, to: False
