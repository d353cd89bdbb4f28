"""A planned stop of a balancer beside another fault: its callers are answered, and truthfully."""

from random import Random

import pytest

from chicorypost.base import Version, WallTime
from chicorypost.configuration import ConfigurationApplied, ConfigurationDocument
from chicorypost.requests import make_key
from chicorypost.requests.tests._simulation import DATA_CENTRE, ORDERS, SPEC, START_WALL, Simulation

ROLES = ("entry", "owner", "backup", "runner")
STEPS = range(0, 60, 4)
"""Steps of the request at which the fault is brought about."""
FAULT_SECONDS = 1.0
CUT_SECONDS = 2.0
REPAIR_SECONDS = 5.0
"""Longer than a lease, after which the view excludes a balancer that was lost."""


def other_instance(simulation, stopping):
    nodes = simulation.nodes
    return next(name for name in sorted(nodes) if name != stopping and nodes[name].is_alive)


def kill_another(simulation, stopping):
    simulation.crash_instance(other_instance(simulation, stopping))


def cut_off_for_a_while(simulation, stopping):
    links = {frozenset((stopping, name)) for name in simulation.nodes if name != stopping}
    simulation.cut_links |= links
    simulation.sleep(CUT_SECONDS)
    simulation.cut_links -= links


def silence_one_connection(simulation, stopping):
    """Lose all messages between two balancers, as a connection does that has gone silent."""
    link = frozenset((stopping, other_instance(simulation, stopping)))
    simulation.cut_links.add(link)
    simulation.sleep(FAULT_SECONDS)
    simulation.cut_links.discard(link)


def freeze_for_a_while(simulation, stopping):
    simulation.freeze_instance(stopping)
    simulation.sleep(FAULT_SECONDS)
    simulation.thaw_instance(stopping)


def apply_a_patch(simulation, stopping):
    document = ConfigurationDocument(services={ORDERS: SPEC.model_copy(update={"idempotent": ()})})
    for name in (stopping, other_instance(simulation, stopping)):
        simulation.deliver_event(name, ConfigurationApplied(Version(2), document))


def lose_another_right_after_a_repair(simulation, stopping):
    """Kill a balancer, wait until the others have replaced its roles, and kill a second one."""
    kill_another(simulation, stopping)
    simulation.sleep(REPAIR_SECONDS)
    kill_another(simulation, stopping)


FAULTS = {
    "kill": kill_another,
    "second loss": lose_another_right_after_a_repair,
    "cut": cut_off_for_a_while,
    "silent connection": silence_one_connection,
    "freeze": freeze_for_a_while,
    "operator race": apply_a_patch,
}


def stop_beside(fault, role, at_step):
    """Stop the balancer in a role while a request runs; return the simulation and the calls."""
    simulation = Simulation("abcde")
    key, roles = simulation.find_key_with_roles()
    stopping = roles[role]
    random = Random(at_step)
    keys = [make_key(DATA_CENTRE, WallTime(START_WALL + simulation.now), random) for _ in "12"]
    calls = [simulation.call(roles["entry"], key), simulation.call(stopping, keys[0])]
    for _ in range(at_step):
        if simulation.pending:
            simulation.step()
    calls.append(simulation.call(stopping, keys[1]))
    simulation.step()
    simulation.drain_instance(stopping)
    FAULTS[fault](simulation, stopping)
    simulation.sleep(12.0)
    return simulation, stopping, calls


@pytest.mark.parametrize("role", ROLES)
@pytest.mark.parametrize("fault", FAULTS)
def test_a_stop_beside_a_fault_leaves_no_accepted_request_without_a_true_answer(fault, role):
    for at_step in STEPS:
        simulation, stopping, calls = stop_beside(fault, role, at_step)
        simulation.replay_messages()
        simulation.check_outcomes()
        answered = [call for call in calls if call.node == stopping]
        assert all(call.outcome is not None for call in answered), at_step
        assert simulation.nodes[stopping].service.is_idle


@pytest.mark.parametrize("fault", ["operator race", "silent connection"])
def test_a_stop_beside_a_fault_that_ends_no_process_leaves_no_outcome_unknown(fault):
    """Each request is done, or its caller is told to send it again."""
    for at_step in STEPS:
        simulation, _, calls = stop_beside(fault, "runner", at_step)
        assert {call.outcome for call in calls} <= {"done", "not-run", "try-again"}, at_step
        simulation.check_outcomes()
