"""After a restart of a process, an upstream that has left is not in use again."""

import pytest

from chicorypost.announcements import AnnouncedStatus, AnnouncementOutcome, LeaveNotice
from chicorypost.announcements.tests.network import SETTINGS, Network
from chicorypost.announcements.tests.test_dissemination import ARCHIVE, ORDERS, make_caller, ready


@pytest.fixture
def network():
    return Network(["c1", "c2", "c3"])


def restart_all(network):
    """Lose all control instances and the balancer at once, and start them again."""
    for name in list(network.registries):
        network.stop(name)
    for number, name in enumerate(network.names, start=11):
        network.start(name, number, is_restored=True)
    network.ever_usable.clear()
    network.start_balancer()


def test_saved_table_does_not_revive_an_upstream_that_left_meanwhile(network):
    """The other instances have forgotten it, so none of them contradicts the saved table."""
    keep_other = make_caller(network, "c2", ARCHIVE, "10.0.0.2")
    network.announce("c1", ready(1))
    network.run(1.0, keep_other)
    network.stop("c1")
    network.announce("c2", LeaveNotice(ORDERS, 1000, 2), "leave")
    network.run(SETTINGS.forget_seconds + 2.0, keep_other)
    assert ORDERS not in network.registries["c2"].table.entries
    network.ever_usable.clear()
    network.start("c1", 9, is_restored=True)
    network.run(4.0, keep_other)
    assert ORDERS not in network.ever_usable
    assert ARCHIVE in network.ever_usable | set(network.visible_upstreams)


@pytest.mark.parametrize("is_restored", [False, True])
def test_a_started_instance_does_not_revive_a_silent_upstream(network, is_restored):
    """Its peers send it an old call of an upstream that has crashed since."""
    network.announce("c1", ready(1))
    network.run(SETTINGS.silent_seconds + 1.0)
    assert network.visible_upstreams[ORDERS].is_silent
    network.stop("c1")
    network.ever_usable.clear()
    network.start("c1", 9, is_restored=is_restored)
    network.run(4.0)
    network.start_balancer()
    network.run(1.0)
    assert ORDERS not in network.ever_usable


def test_a_reconnection_of_instances_does_not_revive_a_silent_upstream(network):
    network.announce("c1", ready(1))
    network.run(SETTINGS.silent_seconds + 1.0)
    network.ever_usable.clear()
    network.stop("c1")
    network.start("c1", 9)
    network.run(2.0)
    assert ORDERS not in network.ever_usable


def test_saved_tables_let_a_new_balancer_serve_after_all_were_lost(network):
    network.run(2.0, make_caller(network, "c1"))
    restart_all(network)
    assert ORDERS in network.ever_usable


def test_an_acknowledged_leave_survives_the_loss_of_all_instances(network):
    network.run(1.0, make_caller(network, "c1"))
    network.refusing_disks = {"c2", "c3"}
    network.announce("c1", LeaveNotice(ORDERS, 1000, 90), "leave")
    assert network.completed_calls[-1] == ("leave", AnnouncementOutcome.ACCEPTED)
    restart_all(network)
    network.run(1.0)
    assert network.visible_upstreams[ORDERS].announcement.status is AnnouncedStatus.GONE


def test_a_leave_is_acknowledged_after_a_while_if_the_disk_refuses(network):
    """A disk that refuses delays the acknowledgement; it doesn't refuse the call."""
    network.announce("c1", ready(1))
    network.refusing_disks = {"c1"}
    network.completed_calls.clear()
    network.announce("c1", LeaveNotice(ORDERS, 1000, 2), "leave")
    assert network.completed_calls == []
    network.run(SETTINGS.hold_seconds + 0.2)
    assert network.completed_calls == [("leave", AnnouncementOutcome.ACCEPTED)]


def test_an_upstream_that_calls_after_a_restart_is_in_use_at_once(network):
    network.run(2.0, make_caller(network, "c1"))
    for name in network.names:
        network.stop(name)
    network.start("c1", 9, is_restored=True)
    network.announce("c1", ready(90))
    assert not network.visible_upstreams[ORDERS].is_silent
