"""Tests that new orders run in views whose epochs skip numbers, as epochs are only compared."""

import msgspec

from chicorypost.base import Epoch, LeaseChanged, ViewChanged
from chicorypost.requests.tests._simulation import DATA_CENTRE
from chicorypost.requests.tests.test_ownership import make_simulation, run_to_end

SKIPPED_EPOCHS = 8


def test_new_orders_run_after_a_loss_although_epochs_skip_numbers():
    simulation, key, roles = make_simulation()
    view = simulation.views[DATA_CENTRE]
    rest = tuple(m for m in view.members if m.instance != roles["owner"])
    simulation.crash_instance(roles["owner"])
    epoch = Epoch(view.epoch + SKIPPED_EPOCHS)
    simulation.install_view(msgspec.structs.replace(view, epoch=epoch, members=rest))
    call = simulation.call(roles["entry"], key)
    run_to_end(simulation)
    assert call.outcome == "done"
    assert simulation.runs[key] == 1


def test_new_orders_run_after_a_view_change_that_takes_the_lease_away_for_a_moment():
    simulation, key, roles = make_simulation()
    view = simulation.views[DATA_CENTRE]
    rest = tuple(m for m in view.members if m.instance != roles["entry"])
    later = msgspec.structs.replace(view, epoch=Epoch(view.epoch + SKIPPED_EPOCHS), members=rest)
    simulation.views[DATA_CENTRE] = later
    for name in "abcde":
        simulation.deliver_event(name, LeaseChanged(None))
        simulation.deliver_event(name, ViewChanged(later))
    simulation.renew_leases()
    call = simulation.call(roles["owner"], key)
    run_to_end(simulation)
    assert call.outcome == "done"
    assert simulation.runs[key] == 1
