"""One order through entry, owner, backup, runner and upstream, with a crash at every step."""

import copy
from functools import cache

import pytest

from chicorypost.requests.tests._simulation import FINAL_OUTCOMES, Simulation

ROLES = ("entry", "owner", "backup", "runner", "upstream")
TIME_LIMIT_SECONDS = 30.0
MAX_UNKNOWN_OUTCOMES = 8
PAIR_STRIDE = 29
"""One pair of crash points in this many is tried here; the benchmark tries all."""


@cache
def make_base_simulation():
    """Return five settled balancers, a fresh key, who plays which role, and the step count."""
    world = Simulation("abcde")
    key, roles = world.find_key_with_roles()
    base = copy.deepcopy(world)
    world.call(roles["entry"], key)
    first = world.steps
    world.sleep(0.5)
    return base, key, roles, world.steps - first


def crash_role(world, roles, role):
    if role == "upstream":
        world.kill_upstream("u1")
    else:
        world.crash(roles[role])


def run_order(*crashes):
    """Run one order with crashes at (step, role) and resends; return what the caller heard."""
    base, key, roles, _ = make_base_simulation()
    world = copy.deepcopy(base)
    for step, role in crashes:
        former = world.crash_at.get(world.steps + step)
        action = [former] if former else []
        action.append(lambda role=role: crash_role(world, roles, role))
        world.crash_at[world.steps + step] = lambda todo=tuple(action): [do() for do in todo]
    call = world.call(roles["entry"], key)
    heard = []
    end = world.now + TIME_LIMIT_SECONDS
    while world.now < end:
        world.sleep(0.5)
        if call.outcome is not None:
            heard.append(call.outcome)
            if (
                call.outcome in FINAL_OUTCOMES
                or heard.count("outcome-unknown") > MAX_UNKNOWN_OUTCOMES
            ):
                break
        if call.outcome is not None or call.is_broken:
            entry = next(name for name, node in world.nodes.items() if node.is_alive)
            call = world.call(entry, key)
    world.replay_everything()
    world.sleep(1.0)
    world.check()
    return world, heard


def single_crash_cases():
    steps = make_base_simulation()[3]
    return [(step, role) for step in range(1, steps + 1) for role in ROLES]


def test_an_order_without_crash_is_done_once():
    world, heard = run_order()
    assert heard == ["done"]
    assert sum(world.runs.values()) == 1


@pytest.mark.parametrize("role", ROLES)
def test_a_crash_at_any_step_never_runs_an_order_twice_nor_lies(role):
    for case in single_crash_cases():
        if case[1] == role:
            world, heard = run_order(case)
            survivor_knows = role in ("entry", "owner", "backup")
            if survivor_knows:
                assert heard[-1] == "done", (case, heard)
                assert "outcome-unknown" not in heard, (case, heard)
            else:
                assert heard[-1:] != ["not-run"] or not sum(world.runs.values())


def test_two_crashes_at_any_steps_never_run_an_order_twice_nor_lie():
    cases = single_crash_cases()
    pairs = [(a, b) for i, a in enumerate(cases) for b in cases[i + 1 :] if a[1] != b[1]]
    for pair in pairs[::PAIR_STRIDE]:
        run_order(*pair)
