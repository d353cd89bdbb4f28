"""Views whose epochs skip numbers: new orders run, because epochs are only compared."""

import msgspec

from chicorypost.base import Epoch, LeaseChanged, ViewChanged
from chicorypost.requests.tests._simulation import DATA_CENTRE
from chicorypost.requests.tests.test_ownership import make_world, run_to_end

SKIPPED_EPOCHS = 8


def test_new_orders_run_after_a_loss_although_epochs_skip_numbers():
    world, key, roles = make_world()
    view = world.views[DATA_CENTRE]
    rest = tuple(m for m in view.members if m.instance != roles["owner"])
    world.crash(roles["owner"])
    epoch = Epoch(view.epoch + SKIPPED_EPOCHS)
    world.install(msgspec.structs.replace(view, epoch=epoch, members=rest))
    call = world.call(roles["entry"], key)
    run_to_end(world)
    assert call.outcome == "done"
    assert world.runs[key] == 1


def test_new_orders_run_after_a_view_change_that_takes_the_lease_away_for_a_moment():
    world, key, roles = make_world()
    view = world.views[DATA_CENTRE]
    rest = tuple(m for m in view.members if m.instance != roles["entry"])
    later = msgspec.structs.replace(view, epoch=Epoch(view.epoch + SKIPPED_EPOCHS), members=rest)
    world.views[DATA_CENTRE] = later
    for name in "abcde":
        world.tell(name, LeaseChanged(None))
        world.tell(name, ViewChanged(later))
    world.renew()
    call = world.call(roles["owner"], key)
    run_to_end(world)
    assert call.outcome == "done"
    assert world.runs[key] == 1
