"""The state machines of a balancer and what each is told."""

import time
from random import Random

from chicorypost.base import (
    DataCentreId,
    Incarnation,
    Instant,
    LeaseChanged,
    Member,
    Message,
    UpstreamsChanged,
    ViewChanged,
    WallTime,
)
from chicorypost.configuration import ConfigurationApplied, ConfigurationFollower, GatedMembership
from chicorypost.daemons._dispatch import Registration, message_types_in
from chicorypost.daemons._engine import Engine
from chicorypost.daemons._packets import FLOWS_MACHINE_NAME
from chicorypost.daemons._settings import BalancerSettings, InstanceAddress, parse_endpoint
from chicorypost.flows import FlowRouter, ReachableChanged
from chicorypost.membership import LeaseMembership, Leave
from chicorypost.requests import CallerGone, RequestArrived, RequestService, WallClockRead
from chicorypost.upstreams import (
    AnnouncementReceived,
    DispatchReply,
    Drain,
    ExchangeEnded,
    RequestDispatcher,
    UpstreamChooser,
    UpstreamDirectory,
)

CONFIGURATION_MESSAGE_TAGS = range(200, 300)
MEMBERSHIP_MESSAGE_TAGS = range(300, 400)
FLOW_MESSAGE_TAGS = range(400, 500)
DIRECTORY_MESSAGE_TAGS = range(500, 520)
DISPATCH_MESSAGE_TAGS = range(520, 540)
REQUEST_MESSAGE_TAGS = range(600, 700)


class BalancerMachines:
    """The state machines of one balancer.

    Parameters
    ----------
    settings : BalancerSettings
        Checked settings.
    member : Member
        This balancer, with the incarnation of this start.
    random : Random
        Source of randomness of all machines.
    now : Instant
        Time of the start.

    Notes
    -----
    The lease goes from membership to the configuration follower alone. The follower passes it on
    to the other machines while the configuration is current enough to serve.
    """

    def __init__(
        self, settings: BalancerSettings, member: Member, random: Random, now: Instant
    ) -> None:
        own = (settings.id, settings.data_centre)
        peers = tuple(_to_member(address) for address in settings.balancers)
        controls = tuple(address.id for address in settings.controls)
        self.membership = LeaseMembership(settings.membership, member, peers, random, now)
        self.follower = ConfigurationFollower(
            settings.configuration, member, controls, peers, random, now
        )
        self.gated_membership = GatedMembership(self.membership, self.follower)
        self.directory = UpstreamDirectory(settings.directory, *own, now)
        self.router = FlowRouter(settings.flows, *own, random, now)
        self.chooser = UpstreamChooser(settings.chooser, random)
        self.dispatcher = RequestDispatcher(settings.dispatcher, member, now)
        wall = WallTime(time.time())
        requests = settings.requests
        if not requests.data_centres:
            requests = requests.model_copy(update={"data_centres": list_data_centres(settings)})
        self.requests = RequestService(requests, member, self.chooser, random, now, wall)

    def register_with(self, engine: Engine) -> None:
        """Add the machines to an engine."""
        shared = (ViewChanged, LeaseChanged, ConfigurationApplied, UpstreamsChanged)
        membership = (
            *message_types_in(MEMBERSHIP_MESSAGE_TAGS),
            *message_types_in(CONFIGURATION_MESSAGE_TAGS),
        )
        dispatched = tuple(
            cls for cls in message_types_in(DISPATCH_MESSAGE_TAGS) if cls is not DispatchReply
        )
        answered: tuple[type[Message], ...] = (
            *message_types_in(REQUEST_MESSAGE_TAGS),
            DispatchReply,
        )
        engine.register(Registration("membership", self.gated_membership, membership, (Leave,)))
        engine.register(
            Registration(
                "upstreams",
                self.directory,
                message_types_in(DIRECTORY_MESSAGE_TAGS),
                (AnnouncementReceived, ViewChanged, LeaseChanged),
            )
        )
        engine.register(
            Registration(
                FLOWS_MACHINE_NAME,
                self.router,
                message_types_in(FLOW_MESSAGE_TAGS),
                (*shared, ReachableChanged),
            )
        )
        engine.register(
            Registration("dispatch", self.dispatcher, dispatched, (*shared, ExchangeEnded, Drain))
        )
        engine.register(
            Registration(
                "requests",
                self.requests,
                answered,
                (*shared, RequestArrived, CallerGone, WallClockRead, Drain),
            )
        )

    def may_act(self, now: Instant) -> bool:
        """Return whether this balancer may serve: it has a lease and a current configuration."""
        return self.gated_membership.may_act(now)

    @property
    def may_leave(self) -> bool:
        """Whether, after `Drain`, the lease can be given back without cutting anything."""
        return self.dispatcher.may_leave and self.requests.is_idle

    @property
    def has_left(self) -> bool:
        """Whether, after `Leave`, no view names this balancer and nothing runs here any more."""
        return self.membership.has_left and self.dispatcher.is_idle


def list_data_centres(settings: BalancerSettings) -> tuple[DataCentreId, ...]:
    """Return the data centres of the address book, in the same order on every instance."""
    names = {address.data_centre for address in settings.balancers}
    return tuple(sorted(names | {settings.data_centre}))


def _to_member(address: InstanceAddress) -> Member:
    control = parse_endpoint(address.control)
    packets = parse_endpoint(address.packets or address.control)
    return Member(address.id, Incarnation(0), address.data_centre, control, packets)
