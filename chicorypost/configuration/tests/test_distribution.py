"""Integration tests of publisher, relays and followers on an unreliable network."""

import pytest

from chicorypost.base import DataCentreId, Epoch, InstanceId, Instant, Received, Version
from chicorypost.configuration import version_status
from chicorypost.configuration._messages import (
    ConfigurationDelta,
    ConfigurationFull,
    ConfigurationPoll,
    ReplyGuarantee,
    ReplyHeader,
)
from chicorypost.configuration._window import DocumentWindow
from chicorypost.configuration.tests._cluster import SETTINGS, Cluster

ADDRESS = "10.0.0.1:80/tcp"
OTHER_ADDRESS = "10.0.0.2:80/tcp"


def applied_versions(cluster):
    return {name: balancer.version for name, balancer in cluster.balancers.items()}


def start_cluster(**kwargs):
    cluster = Cluster(**kwargs)
    cluster.run(2)
    cluster.submit_assignments(0, {"archive": [ADDRESS]}, 1)
    cluster.run(2)
    return cluster


def test_version_reaches_every_balancer_and_is_reported_in_force():
    cluster = start_cluster()
    assert set(applied_versions(cluster).values()) == {1}
    status = version_status(cluster.controls[cluster.leader].publisher, Version(1), cluster.now)
    assert status.in_force
    assert status.everywhere
    names = sorted(name for item in status.data_centres for name in item.applying)
    assert names == sorted(cluster.balancers)


@pytest.mark.parametrize("seed", range(5))
def test_balancers_converge_with_half_of_the_messages_lost(seed):
    cluster = Cluster(seed=seed, loss=0.5)
    cluster.run(5)
    for number in range(5):
        cluster.submit_assignments(
            number, {"archive": [ADDRESS], "more": [OTHER_ADDRESS][: number % 2]}, number
        )
        cluster.run(1)
    cluster.run(12)
    assert {b.routes.get(ADDRESS) for b in cluster.balancers.values()} == {"archive"}
    assert len(set(applied_versions(cluster).values())) == 1


def test_change_is_sent_to_each_data_centre_once_as_a_delta():
    cluster = start_cluster()
    cluster.sent.clear()
    cluster.submit_assignments(1, {"archive": [ADDRESS, OTHER_ADDRESS]}, 2)
    cluster.run(0.3)
    sent_across = [
        (to, message)
        for sender, to, message in cluster.sent
        if sender in cluster.controls
        and isinstance(message, ConfigurationDelta | ConfigurationFull)
    ]
    assert len({to for to, _ in sent_across}) == len(cluster.views)
    assert len(sent_across) == len(cluster.views)
    assert all(isinstance(message, ConfigurationDelta) for _, message in sent_across)


def test_several_versions_are_sent_in_one_batch():
    cluster = start_cluster()
    cluster.sent.clear()
    for number in range(10):
        cluster.submit_assignments(
            1 + number, {"archive": [ADDRESS, OTHER_ADDRESS][: 1 + number % 2]}, 10 + number
        )
    cluster.run(0.3)
    deltas = [m for s, _, m in cluster.sent if s == cluster.leader and hasattr(m, "base")]
    assert [delta.version for delta in deltas] == [11] * len(cluster.views)


def test_restarted_balancer_with_a_stale_control_instance_applies_the_highest_version():
    cluster = start_cluster()
    cluster.run(3)
    cluster.isolated = {"aalst"}
    stale = next(name for name in cluster.controls if name != cluster.leader)
    cluster.controls[stale].publisher.window = DocumentWindow(SETTINGS.window)
    cluster.isolated |= {stale}
    member = cluster.restart_balancer("aalst-1")
    cluster.set_view("aalst", [cluster.balancers["aalst-0"].member, member])
    cluster.run(2)
    assert cluster.balancers["aalst-1"].version == 1
    assert cluster.balancers["aalst-1"].is_serving()


def test_a_balancer_alone_with_a_stale_control_instance_does_not_serve():
    cluster = start_cluster()
    cluster.isolated = {"aalst", "control-1"}
    cluster.balancers["aalst-1"].is_frozen = True
    cluster.set_view("aalst", [cluster.restart_balancer("aalst-0")])
    cluster.run(4)
    assert not cluster.balancers["aalst-0"].is_serving()
    cluster.isolated = set()
    cluster.run(2)
    assert cluster.balancers["aalst-0"].is_serving()


def test_a_data_centre_whose_leases_all_ended_while_cut_off_serves_again_on_its_own():
    cluster = start_cluster()
    cluster.isolated = {"gent"}
    cluster.advance(10)
    assert not cluster.balancers["gent-0"].is_serving()
    cluster.run(2)
    assert all(cluster.balancers[f"gent-{n}"].is_serving() for n in range(3))


def test_older_configuration_is_ignored_from_any_sender():
    cluster = start_cluster()
    cluster.submit_assignments(1, {"archive": [OTHER_ADDRESS]}, 2)
    cluster.run(2)
    old = DocumentWindow(4)
    old.add_version(Version(1), {})
    header = ReplyHeader("", ReplyGuarantee.ADMITTED)
    cluster.handle_event("gent-0", Received(cluster.leader, old.make_reply(Version(0), 0, header)))
    assert cluster.balancers["gent-0"].version == 2


def test_a_damaged_delta_is_replaced_by_a_whole_configuration():
    cluster = start_cluster()
    cluster.submit_assignments(1, {"archive": [OTHER_ADDRESS]}, 2)
    damaged = ConfigurationDelta(
        ReplyHeader("", ReplyGuarantee.UNCERTAIN), Version(1), Version(2), 7, b'{"services": null}'
    )
    cluster.handle_event("gent-0", Received(cluster.leader, damaged))
    assert cluster.balancers["gent-0"].version == 1
    assert cluster.sent[-1][2].applied.digest == 0
    cluster.run(2)
    assert cluster.balancers["gent-0"].routes == {OTHER_ADDRESS: "archive"}


def test_silent_balancer_and_isolated_data_centre_are_reported_unreachable():
    cluster = start_cluster()
    cluster.balancers["gent-2"].is_frozen = True
    cluster.isolated = {"aalst"}
    cluster.submit_assignments(1, {"archive": [OTHER_ADDRESS]}, 2)
    cluster.run(7)
    status = version_status(cluster.controls[cluster.leader].publisher, Version(2), cluster.now)
    assert status.in_force
    assert not status.everywhere
    assert set(status.unreachable) == {"data centre aalst", "balancer gent-2"}


def move_address(cluster):
    return cluster.submit_assignments(1, {"archive": [], "ordering": [ADDRESS]}, 2)


def test_an_address_moves_only_after_every_balancer_has_released_it():
    cluster = start_cluster()
    assert move_address(cluster).withheld
    cluster.run(3)
    assert {b.routes[ADDRESS] for b in cluster.balancers.values()} == {"ordering"}
    assert set(applied_versions(cluster).values()) == {3}


def test_a_stale_balancer_never_routes_a_moved_address_beside_the_new_service():
    cluster = start_cluster()
    cluster.isolated = {"aalst"}
    move_address(cluster)
    cluster.run(30)
    assert cluster.balancers["aalst-0"].routes[ADDRESS] == "archive"
    assert cluster.balancers["aalst-0"].is_serving()
    assert ADDRESS not in cluster.balancers["gent-0"].routes
    status = version_status(cluster.controls[cluster.leader].publisher, Version(2), cluster.now)
    assert status.withheld == (ADDRESS,)
    cluster.isolated = set()
    cluster.run(6)
    assert {b.routes[ADDRESS] for b in cluster.balancers.values()} == {"ordering"}


def test_a_frozen_balancer_delays_a_move_until_its_lease_has_run_out_and_it_left_the_view():
    cluster = start_cluster()
    cluster.balancers["gent-1"].is_frozen = True
    move_address(cluster)
    cluster.run(4)
    assert cluster.balancers["gent-0"].routes.get(ADDRESS) != "ordering"
    rest = [cluster.balancers[name].member for name in ("gent-0", "gent-2")]
    cluster.set_view("gent", rest)
    cluster.run(3)
    assert cluster.balancers["gent-0"].routes[ADDRESS] == "ordering"
    cluster.balancers["gent-1"].is_frozen = False
    cluster.advance(0)
    cluster.check_routes()
    cluster.set_view("gent", [*rest, cluster.balancers["gent-1"].member])
    cluster.check_routes()
    cluster.run(2)
    assert cluster.balancers["gent-1"].is_serving()


def test_a_move_goes_on_after_the_leader_is_lost():
    cluster = start_cluster()
    cluster.isolated = {"aalst"}
    move_address(cluster)
    cluster.run(2)
    cluster.elect_leader("control-1")
    cluster.isolated = {"control-0"}
    cluster.run(6)
    assert {b.routes[ADDRESS] for b in cluster.balancers.values()} == {"ordering"}


def test_release_waits_for_a_balancer_that_started_during_it():
    cluster = start_cluster()
    restarted = cluster.restart_balancer("gent-2")
    members = [cluster.balancers[f"gent-{n}"].member for n in range(2)]
    cluster.set_view("gent", [*members, restarted])
    for _ in range(60):
        cluster.deliver_one()
    move_address(cluster)
    for _ in range(400):
        if cluster.in_flight:
            cluster.deliver_one(keep_copy=cluster.random.random() < 0.3)
        cluster.check_routes()
    cluster.run(3)
    assert cluster.balancers["gent-2"].routes[ADDRESS] == "ordering"


def test_epochs_of_another_data_centre_do_not_delay_a_release():
    cluster = start_cluster()
    for _ in range(5):
        cluster.set_view("aalst", cluster.views["aalst"].members)
    relay = cluster.balancers["gent-0"].follower.relay_name
    applied = cluster.balancers["aalst-0"].follower.applied_configuration()
    poll = ConfigurationPoll("", DataCentreId("aalst"), Epoch(6), False, applied)
    cluster.handle_event(relay, Received(InstanceId("aalst-0"), poll))
    move_address(cluster)
    cluster.run(3)
    assert cluster.balancers["gent-0"].routes[ADDRESS] == "ordering"


def test_deadlines_never_lie_in_the_past():
    cluster = start_cluster()
    for _ in range(50):
        for control in cluster.controls.values():
            deadline = control.publisher.next_deadline()
            assert deadline is None or deadline > cluster.now
        for balancer in cluster.balancers.values():
            assert balancer.follower.next_deadline() > cluster.now
        cluster.run(0.1)
    assert cluster.now > Instant(100)
