"""Tests of publisher, relays and followers together on an unreliable network."""

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
OTHER = "10.0.0.2:80/tcp"


def versions(cluster):
    return {name: balancer.version for name, balancer in cluster.balancers.items()}


def started(**kwargs):
    cluster = Cluster(**kwargs)
    cluster.run(2)
    cluster.submit_assignments(0, {"archive": [ADDRESS]}, 1)
    cluster.run(2)
    return cluster


def test_a_version_reaches_every_balancer_and_is_observed_in_force():
    cluster = started()
    assert set(versions(cluster).values()) == {1}
    force = version_status(cluster.controls[cluster.leader].publisher, Version(1), cluster.now)
    assert force.in_force
    assert force.everywhere
    names = sorted(name for item in force.data_centres for name in item.applying)
    assert names == sorted(cluster.balancers)


@pytest.mark.parametrize("seed", range(5))
def test_half_of_all_messages_lost_still_converges(seed):
    cluster = Cluster(seed=seed, loss=0.5)
    cluster.run(5)
    for number in range(5):
        cluster.submit_assignments(
            number, {"archive": [ADDRESS], "more": [OTHER][: number % 2]}, number
        )
        cluster.run(1)
    cluster.run(12)
    assert {b.routes.get(ADDRESS) for b in cluster.balancers.values()} == {"archive"}
    assert len(set(versions(cluster).values())) == 1


def test_a_change_crosses_to_each_data_centre_once_as_a_delta():
    cluster = started()
    cluster.sent.clear()
    cluster.submit(1, {"archive": [ADDRESS, OTHER]}, 2)
    cluster.run(0.3)
    crossing = [
        (to, message)
        for sender, to, message in cluster.sent
        if sender in cluster.controls
        and isinstance(message, ConfigurationDelta | ConfigurationFull)
    ]
    assert len({to for to, _ in crossing}) == len(cluster.views)
    assert len(crossing) == len(cluster.views)
    assert all(isinstance(message, ConfigurationDelta) for _, message in crossing)


def test_several_versions_travel_in_one_batch():
    cluster = started()
    cluster.sent.clear()
    for number in range(10):
        cluster.submit(1 + number, {"archive": [ADDRESS, OTHER][: 1 + number % 2]}, 10 + number)
    cluster.run(0.3)
    deltas = [m for s, _, m in cluster.sent if s == cluster.leader and hasattr(m, "base")]
    assert [delta.version for delta in deltas] == [11] * len(cluster.views)


def test_a_restarted_balancer_beside_a_stale_control_instance_takes_the_highest_version():
    cluster = started()
    cluster.run(3)
    cluster.cut = {"aalst"}
    stale = next(name for name in cluster.controls if name != cluster.leader)
    cluster.controls[stale].publisher.window = DocumentWindow(SETTINGS.window)
    cluster.cut |= {stale}
    member = cluster.restart("aalst-1")
    cluster.set_view("aalst", [cluster.balancers["aalst-0"].member, member])
    cluster.run(2)
    assert cluster.balancers["aalst-1"].version == 1
    assert cluster.balancers["aalst-1"].serves()


def test_a_balancer_alone_with_a_stale_control_instance_does_not_serve():
    cluster = started()
    cluster.cut = {"aalst", "control-1"}
    cluster.balancers["aalst-1"].frozen = True
    cluster.set_view("aalst", [cluster.restart("aalst-0")])
    cluster.run(4)
    assert not cluster.balancers["aalst-0"].serves()
    cluster.cut = set()
    cluster.run(2)
    assert cluster.balancers["aalst-0"].serves()


def test_a_data_centre_whose_leases_all_ended_while_cut_off_serves_again_on_its_own():
    cluster = started()
    cluster.cut = {"gent"}
    cluster.advance(10)
    assert not cluster.balancers["gent-0"].serves()
    cluster.run(2)
    assert all(cluster.balancers[f"gent-{n}"].serves() for n in range(3))


def test_an_older_configuration_is_ignored_whoever_offers_it():
    cluster = started()
    cluster.submit(1, {"archive": [OTHER]}, 2)
    cluster.run(2)
    old = DocumentWindow(4)
    old.add_version(Version(1), {})
    head = ReplyHeader("", ReplyGuarantee.ADMITTED)
    cluster.give("gent-0", Received(cluster.leader, old.make_reply(Version(0), 0, head)))
    assert cluster.balancers["gent-0"].version == 2


def test_a_damaged_delta_is_replaced_by_a_whole_configuration():
    cluster = started()
    cluster.submit(1, {"archive": [OTHER]}, 2)
    bad = ConfigurationDelta(
        ReplyHeader("", ReplyGuarantee.UNCERTAIN), Version(1), Version(2), 7, b'{"services": null}'
    )
    cluster.give("gent-0", Received(cluster.leader, bad))
    assert cluster.balancers["gent-0"].version == 1
    assert cluster.sent[-1][2].standing.digest == 0
    cluster.run(2)
    assert cluster.balancers["gent-0"].routes == {OTHER: "archive"}


def test_a_silent_balancer_and_a_cut_off_data_centre_are_named():
    cluster = started()
    cluster.balancers["gent-2"].frozen = True
    cluster.cut = {"aalst"}
    cluster.submit(1, {"archive": [OTHER]}, 2)
    cluster.run(7)
    force = version_status(cluster.controls[cluster.leader].publisher, Version(2), cluster.now)
    assert force.in_force
    assert not force.everywhere
    assert set(force.unreachable) == {"data centre aalst", "balancer gent-2"}


def move(cluster):
    return cluster.submit(1, {"archive": [], "ordering": [ADDRESS]}, 2)


def test_an_address_moves_only_after_every_balancer_has_released_it():
    cluster = started()
    assert move(cluster).withheld
    cluster.run(3)
    assert {b.routes[ADDRESS] for b in cluster.balancers.values()} == {"ordering"}
    assert set(versions(cluster).values()) == {3}


def test_a_stale_balancer_never_routes_a_moved_address_beside_the_new_service():
    cluster = started()
    cluster.cut = {"aalst"}
    move(cluster)
    cluster.run(30)
    assert cluster.balancers["aalst-0"].routes[ADDRESS] == "archive"
    assert cluster.balancers["aalst-0"].serves()
    assert ADDRESS not in cluster.balancers["gent-0"].routes
    force = version_status(cluster.controls[cluster.leader].publisher, Version(2), cluster.now)
    assert force.withheld == (ADDRESS,)
    cluster.cut = set()
    cluster.run(6)
    assert {b.routes[ADDRESS] for b in cluster.balancers.values()} == {"ordering"}


def test_a_frozen_balancer_delays_a_move_until_its_lease_has_run_out_and_it_left_the_view():
    cluster = started()
    cluster.balancers["gent-1"].frozen = True
    move(cluster)
    cluster.run(4)
    assert cluster.balancers["gent-0"].routes.get(ADDRESS) != "ordering"
    rest = [cluster.balancers[name].member for name in ("gent-0", "gent-2")]
    cluster.set_view("gent", rest)
    cluster.run(3)
    assert cluster.balancers["gent-0"].routes[ADDRESS] == "ordering"
    cluster.balancers["gent-1"].frozen = False
    cluster.advance(0)
    cluster.check_routes()
    cluster.set_view("gent", [*rest, cluster.balancers["gent-1"].member])
    cluster.check_routes()
    cluster.run(2)
    assert cluster.balancers["gent-1"].serves()


def test_a_move_goes_on_after_the_leader_is_lost():
    cluster = started()
    cluster.cut = {"aalst"}
    move(cluster)
    cluster.run(2)
    cluster.elect("control-1")
    cluster.cut = {"control-0"}
    cluster.run(6)
    assert {b.routes[ADDRESS] for b in cluster.balancers.values()} == {"ordering"}


def test_a_balancer_that_started_beside_the_release_is_waited_for():
    cluster = started()
    joiner = cluster.restart("gent-2")
    members = [cluster.balancers[f"gent-{n}"].member for n in range(2)]
    cluster.set_view("gent", [*members, joiner])
    for _ in range(60):
        cluster.deliver_one()
    move(cluster)
    for _ in range(400):
        if cluster.flight:
            cluster.deliver_one(keep=cluster.random.random() < 0.3)
        cluster.check_routes()
    cluster.run(3)
    assert cluster.balancers["gent-2"].routes[ADDRESS] == "ordering"


def test_epochs_of_another_data_centre_hold_no_release_back():
    cluster = started()
    for _ in range(5):
        cluster.set_view("aalst", cluster.views["aalst"].members)
    relay = cluster.balancers["gent-0"].follower.relay_name
    standing = cluster.balancers["aalst-0"].follower.standing()
    poll = ConfigurationPoll("", DataCentreId("aalst"), Epoch(6), False, standing)
    cluster.give(relay, Received(InstanceId("aalst-0"), poll))
    move(cluster)
    cluster.run(3)
    assert cluster.balancers["gent-0"].routes[ADDRESS] == "ordering"


def test_deadlines_never_lie_in_the_past():
    cluster = started()
    for _ in range(50):
        for control in cluster.controls.values():
            deadline = control.publisher.next_deadline()
            assert deadline is None or deadline > cluster.now
        for balancer in cluster.balancers.values():
            assert balancer.follower.next_deadline() > cluster.now
        cluster.run(0.1)
    assert cluster.now > Instant(100)
