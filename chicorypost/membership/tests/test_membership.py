"""Tests of leases and views: formation, joins, leaves, failures, pauses and partitions."""

# mypy: disable-error-code="arg-type, union-attr"

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorypost.base import LeaseChanged, Send
from chicorypost.membership import Leave
from chicorypost.membership._messages import LeaseGrant
from chicorypost.membership.tests.simulation import MembershipSimulation, gent_names


def make_formed_simulation(count=7, **options):
    simulation = MembershipSimulation({"gent": count}, **options)
    simulation.start_instances()
    simulation.run_until(5.0)
    assert simulation.all_acting(*gent_names(*range(count)))
    return simulation


def first_grantors(simulation):
    record = simulation.membership_of("gent-0").history.newest_record("gent")
    return [grantor.instance for grantor in record.grantors]


@pytest.mark.parametrize("count", [1, 2, 3, 5, 7, 20])
def test_a_view_is_formed_once_all_have_abstained_for_one_lease(count):
    simulation = MembershipSimulation({"gent": count})
    simulation.start_instances()
    simulation.run_until(2.99)
    assert not simulation.acting_views()
    simulation.run_until(5.0)
    assert simulation.all_acting(*gent_names(*range(count)))


def test_a_majority_forms_a_view_and_latecomers_join_it():
    simulation = MembershipSimulation({"gent": 7})
    simulation.start_instances(*gent_names(0, 1, 2))
    simulation.run_until(15.0)
    assert not simulation.acting_views()
    simulation.start_instances(*gent_names(3))
    simulation.run_until(25.0)
    assert simulation.all_acting(*gent_names(0, 1, 2, 3))
    simulation.start_instances(*gent_names(4, 5, 6))
    simulation.run_until(27.0)
    assert simulation.all_acting(*gent_names(*range(7)))


@pytest.mark.parametrize("name", gent_names(*range(7)))
def test_a_graceful_leave_takes_effect_at_once_and_a_new_start_joins(name):
    simulation = make_formed_simulation()
    simulation.deliver_event(name, Leave())
    assert not simulation.membership_of(name).may_act(simulation.now)
    simulation.run_until(5.5)
    others = [other for other in gent_names(*range(7)) if other != name]
    assert simulation.all_acting(*others)
    assert simulation.membership_of(name).has_left
    simulation.crash_instance(name)
    simulation.start_instances(name)
    simulation.run_until(7.0)
    assert simulation.all_acting(*gent_names(*range(7)))


def test_grantors_lost_one_after_another_are_replaced_until_half_of_the_instances_are_left():
    simulation = make_formed_simulation(9)
    for at in (10, 20, 30, 40):
        simulation.crash_instance(newest_grantors(simulation)[0])
        simulation.run_until(float(at))
        assert simulation.all_acting(*simulation.machines)
    assert len(simulation.machines) == 5


def newest_grantors(simulation):
    newest = max(
        (machines[0].history.newest_record("gent") for machines in simulation.machines.values()),
        key=lambda record: record.epoch,
    )
    return [grantor.instance for grantor in newest.grantors]


def test_an_unplanned_loss_interrupts_no_other_instance():
    simulation = make_formed_simulation()
    simulation.crash_instance("gent-2")
    start = len(simulation.effects)
    simulation.run_until(12.0)
    ends = [e for _, _, e in simulation.effects[start:] if isinstance(e, LeaseChanged)]
    gaps = lease_gaps(simulation, start)
    assert ends and max(gaps, default=0.0) < 0.1
    assert simulation.all_acting(*gent_names(0, 1, 3, 4, 5, 6))


def lease_gaps(simulation, start):
    lost, gaps = {}, []
    for now, name, effect in simulation.effects[start:]:
        if isinstance(effect, LeaseChanged) and effect.end is None:
            lost[name] = now
        elif isinstance(effect, LeaseChanged) and name in lost:
            gaps.append(now - lost.pop(name))
    return gaps


@pytest.mark.parametrize("lost", [3, 4])
def test_a_majority_of_grantors_lost_at_once(lost):
    """With three of seven lost a new view forms; with four, no instance acts until one restarts."""
    simulation = make_formed_simulation()
    for name in first_grantors(simulation)[:lost]:
        simulation.crash_instance(name)
    simulation.run_until(20.0)
    if lost == 4:
        assert not simulation.acting_views()
        (
            simulation.start_instances(first_grantors(simulation)[0])
            if "gent-0" in simulation.machines
            else simulation.start_instances(
                next(name for name in gent_names(*range(7)) if name not in simulation.machines)
            )
        )
        simulation.run_until(35.0)
    assert simulation.all_acting(*simulation.machines)


@pytest.mark.parametrize("name", gent_names(0, 3, 6))
def test_a_frozen_instance_finds_its_lease_gone_before_any_other_effect(name):
    simulation = make_formed_simulation()
    simulation.freeze_instance(name)
    simulation.run_until(10.0)
    others = [other for other in gent_names(*range(7)) if other != name]
    assert simulation.all_acting(*others)
    assert not simulation.membership_of(name).may_act(simulation.now)
    start = len(simulation.effects)
    simulation.resume_instance(name)
    own_effects = [effect for _, instance, effect in simulation.effects[start:] if instance == name]
    assert isinstance(own_effects[1], LeaseChanged) and own_effects[1].end is None
    assert not any(isinstance(effect, Send) for effect in own_effects[:1])
    simulation.run_until(14.0)
    assert simulation.all_acting(*gent_names(*range(7)))


def test_a_grantor_that_restarts_without_memory_grants_nothing_in_the_old_view():
    simulation = make_formed_simulation()
    name = first_grantors(simulation)[0]
    old_epoch = simulation.membership_of(name).view.epoch
    simulation.crash_instance(name)
    simulation.start_instances(name)
    start = len(simulation.effects)
    simulation.run_until(12.0)
    grants = [
        effect.message
        for _, instance, effect in simulation.effects[start:]
        if instance == name and isinstance(effect, Send) and isinstance(effect.message, LeaseGrant)
    ]
    assert all(grant.epoch > old_epoch for grant in grants)
    assert simulation.all_acting(*gent_names(*range(7)))


@pytest.mark.parametrize("names", list(itertools.combinations(range(7), 3)))
def test_a_cut_in_the_middle_lets_only_the_majority_act_and_heals(names):
    simulation = make_formed_simulation()
    isolated = set(gent_names(*names))
    simulation.is_cut = lambda sender, to: (sender in isolated) != (to in isolated)
    simulation.run_until(20.0)
    assert simulation.all_acting(*(set(gent_names(*range(7))) - isolated))
    simulation.is_cut = lambda sender, to: False
    simulation.run_until(30.0)
    assert simulation.all_acting(*gent_names(*range(7)))


def test_views_of_other_data_centres_are_learned_through_relays_and_survive_a_cut():
    simulation = MembershipSimulation({"gent": 5, "aalst": 3})
    simulation.start_instances()
    simulation.run_until(12.0)
    for machines in simulation.machines.values():
        views = machines[0].views
        assert {name: len(view.members) for name, view in views.items()} == {"gent": 5, "aalst": 3}
    simulation.is_cut = lambda sender, to: sender[:4] != to[:4]
    simulation.crash_instance("gent-1")
    simulation.run_until(20.0)
    assert (
        simulation.all_acting(*gent_names(0, 2, 3, 4))
        and len(simulation.acting_views("aalst")) == 3
    )
    simulation.is_cut = lambda sender, to: False
    simulation.run_until(32.0)
    assert {len(m[0].views["gent"].members) for m in simulation.machines.values()} == {4}


def test_a_whole_data_centre_that_restarts_gets_a_greater_epoch():
    simulation = make_formed_simulation()
    before = simulation.membership_of("gent-0").view.epoch
    for name in gent_names(*range(7)):
        simulation.crash_instance(name)
    simulation.start_instances()
    simulation.run_until(12.0)
    assert simulation.all_acting(*gent_names(*range(7)))
    assert simulation.membership_of("gent-0").view.epoch > before


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
    """`MembershipSimulation` checks the views after each event; without faults all act again."""
    simulation = MembershipSimulation({"gent": 7}, seed)
    simulation.start_instances()
    simulation.loss_rate, simulation.delay = network
    simulation.duplicate_rate = 0.2
    simulation.run_until(5.0)
    for action, number, seconds in steps:
        apply_step(simulation, action, f"gent-{number}", number)
        simulation.run_until(simulation.now + seconds)
    for name in list(simulation.frozen_instances):
        simulation.resume_instance(name)
    simulation.is_cut, simulation.loss_rate, simulation.delay = (
        (lambda sender, to: False),
        0.0,
        0.002,
    )
    for name in gent_names(*range(7)):
        if name not in simulation.machines or simulation.membership_of(name).holder.is_leaving:
            simulation.start_instances(name)
    simulation.run_until(simulation.now + 40.0)
    assert simulation.all_acting(*gent_names(*range(7)))


def apply_step(simulation, action, name, number):
    alive = name in simulation.machines
    match action:
        case "kill" if alive:
            simulation.crash_instance(name)
        case "start" if not alive:
            simulation.start_instances(name)
        case "freeze" if alive and name not in simulation.frozen_instances:
            simulation.freeze_instance(name)
        case "thaw" if name in simulation.frozen_instances and alive:
            simulation.resume_instance(name)
        case "leave" if alive and name not in simulation.frozen_instances:
            simulation.deliver_event(name, Leave())
        case "cut":
            isolated = set(gent_names(*range(number + 1)))
            simulation.is_cut = lambda sender, to: (sender in isolated) != (to in isolated)
        case "heal":
            simulation.is_cut = lambda sender, to: False
