"""Runs one order with a crash of entry, owner, backup, runner or upstream at every step."""

import copy
from functools import cache

import pytest

from chicorypost.requests.tests._simulation import FINAL_OUTCOMES, Simulation

ROLES = ("entry", "owner", "backup", "runner", "upstream")
TIME_LIMIT_SECONDS = 30.0
MAX_UNKNOWN_OUTCOMES = 8
PAIR_STRIDE = 29
"""Interval between the tested pairs of crash points; the benchmark runs all pairs."""


@cache
def make_base_simulation():
    """Return a settled simulation of five balancers, a new key, its roles and the step count."""
    simulation = Simulation("abcde")
    key, roles = simulation.find_key_with_roles()
    base = copy.deepcopy(simulation)
    simulation.call(roles["entry"], key)
    first = simulation.steps
    simulation.sleep(0.5)
    return base, key, roles, simulation.steps - first


def crash_role(simulation, roles, role):
    if role == "upstream":
        simulation.kill_upstream("u1")
    else:
        simulation.crash_instance(roles[role])


def run_order(*crashes):
    """Run one order with crashes at (step, role) and resends; return the caller's outcomes."""
    base, key, roles, _ = make_base_simulation()
    simulation = copy.deepcopy(base)
    for step, role in crashes:
        previous_action = simulation.crash_actions.get(simulation.steps + step)
        action = [previous_action] if previous_action else []
        action.append(lambda role=role: crash_role(simulation, roles, role))
        simulation.crash_actions[simulation.steps + step] = lambda actions=tuple(action): [
            do() for do in actions
        ]
    call = simulation.call(roles["entry"], key)
    outcomes = []
    end = simulation.now + TIME_LIMIT_SECONDS
    while simulation.now < end:
        simulation.sleep(0.5)
        if call.outcome is not None:
            outcomes.append(call.outcome)
            if (
                call.outcome in FINAL_OUTCOMES
                or outcomes.count("outcome-unknown") > MAX_UNKNOWN_OUTCOMES
            ):
                break
        if call.outcome is not None or call.is_disconnected:
            entry = next(name for name, node in simulation.nodes.items() if node.is_alive)
            call = simulation.call(entry, key)
    simulation.replay_messages()
    simulation.sleep(1.0)
    simulation.check_outcomes()
    return simulation, outcomes


def single_crash_cases():
    steps = make_base_simulation()[3]
    return [(step, role) for step in range(1, steps + 1) for role in ROLES]


def test_an_order_without_crash_is_done_once():
    simulation, outcomes = run_order()
    assert outcomes == ["done"]
    assert sum(simulation.runs.values()) == 1


@pytest.mark.parametrize("role", ROLES)
def test_a_crash_at_any_step_causes_no_second_run_and_no_false_outcome(role):
    for case in single_crash_cases():
        if case[1] == role:
            simulation, outcomes = run_order(case)
            survivors_have_result = role in ("entry", "owner", "backup")
            if survivors_have_result:
                assert outcomes[-1] == "done", (case, outcomes)
                assert "outcome-unknown" not in outcomes, (case, outcomes)
            else:
                assert outcomes[-1:] != ["not-run"] or not sum(simulation.runs.values())


def test_two_crashes_at_any_steps_cause_no_second_run_and_no_false_outcome():
    cases = single_crash_cases()
    pairs = [(a, b) for i, a in enumerate(cases) for b in cases[i + 1 :] if a[1] != b[1]]
    for pair in pairs[::PAIR_STRIDE]:
        run_order(*pair)
