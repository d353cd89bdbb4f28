"""Builders of upstreams, views and directory simulations for the tests of this folder."""

from benchmarks.machine_loop import MachineLoop, deliver_once
from chicorypost.base import (
    DataCentreId,
    Endpoint,
    Incarnation,
    InstanceId,
    Instant,
    LeaseChanged,
    Member,
    ServiceId,
    Upstream,
    UpstreamId,
    UpstreamState,
    View,
    ViewChanged,
)
from chicorypost.upstreams import DirectorySettings, UpstreamDirectory

DISTANT_FUTURE = Instant(1e9)
READY = UpstreamState.READY


def make_upstream(
    name, incarnation=1, service="orders", state=READY, port=None, slots=2, dc="gent"
):
    port = port or 1_000 + sum(name.encode()) % 900
    endpoint = Endpoint("10.0.0.1", port)
    ids = (UpstreamId(name), Incarnation(incarnation), ServiceId(service), DataCentreId(dc))
    return Upstream(*ids, endpoint, endpoint, slots, 4_000, state)


def make_view(count, epoch=1, data_centre="gent", without=()):
    names = [f"{data_centre}-{number}" for number in range(count)]
    members = [
        Member(
            InstanceId(name),
            Incarnation(1),
            DataCentreId(data_centre),
            Endpoint("127.0.0.1", 1),
            Endpoint("127.0.0.1", 2),
        )
        for name in names
        if name not in without
    ]
    return View(DataCentreId(data_centre), epoch, tuple(members))


def start_directories(views, route=deliver_once, settings=None):
    """Start one directory per member of the views, with a lease that does not expire."""
    settings = settings or DirectorySettings()
    loop = MachineLoop(route)
    for view in views:
        for member in view.members:
            start_directory(loop, member, views, settings)
    return loop


def start_directory(loop, member, views, settings=None):
    directory = UpstreamDirectory(
        settings or DirectorySettings(), member.instance, member.data_centre, loop.now
    )
    loop.start_instance(member.instance, directory)
    for view in views:
        loop.deliver_event(member.instance, ViewChanged(view))
    loop.deliver_event(member.instance, LeaseChanged(DISTANT_FUTURE))


def directories_by_instance(loop):
    return {name: machines[0] for name, machines in loop.machines.items()}
