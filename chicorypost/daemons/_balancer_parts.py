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
from chicorypost.daemons._dispatch import Part, messages_in
from chicorypost.daemons._engine import Engine
from chicorypost.daemons._packets import FLOWS_PART
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

CONFIGURATION_TAGS = range(200, 300)
MEMBERSHIP_TAGS = range(300, 400)
FLOW_TAGS = range(400, 500)
DIRECTORY_TAGS = range(500, 520)
DISPATCH_TAGS = range(520, 540)
REQUEST_TAGS = range(600, 700)


class BalancerParts:
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
        self.gated = GatedMembership(self.membership, self.follower)
        self.directory = UpstreamDirectory(settings.directory, *own, now)
        self.router = FlowRouter(settings.flows, *own, random, now)
        self.chooser = UpstreamChooser(settings.chooser, random)
        self.dispatcher = RequestDispatcher(settings.dispatcher, member, now)
        wall = WallTime(time.time())
        requests = settings.requests
        if not requests.data_centres:
            requests = requests.model_copy(update={"data_centres": data_centres_of(settings)})
        self.requests = RequestService(requests, member, self.chooser, random, now, wall)

    def add_to(self, engine: Engine) -> None:
        """Add the machines to an engine."""
        shared = (ViewChanged, LeaseChanged, ConfigurationApplied, UpstreamsChanged)
        membership = (*messages_in(MEMBERSHIP_TAGS), *messages_in(CONFIGURATION_TAGS))
        dispatched = tuple(cls for cls in messages_in(DISPATCH_TAGS) if cls is not DispatchReply)
        answered: tuple[type[Message], ...] = (*messages_in(REQUEST_TAGS), DispatchReply)
        engine.add(Part("membership", self.gated, membership, (Leave,)))
        engine.add(
            Part(
                "upstreams",
                self.directory,
                messages_in(DIRECTORY_TAGS),
                (AnnouncementReceived, ViewChanged, LeaseChanged),
            )
        )
        engine.add(
            Part(FLOWS_PART, self.router, messages_in(FLOW_TAGS), (*shared, ReachableChanged))
        )
        engine.add(Part("dispatch", self.dispatcher, dispatched, (*shared, ExchangeEnded, Drain)))
        engine.add(
            Part(
                "requests",
                self.requests,
                answered,
                (*shared, RequestArrived, CallerGone, WallClockRead, Drain),
            )
        )

    def may_act(self, now: Instant) -> bool:
        """Return whether this balancer may serve: it has a lease and a current configuration."""
        return self.gated.may_act(now)

    @property
    def may_leave(self) -> bool:
        """Whether, after `Drain`, the lease can be given back without cutting anything."""
        return self.dispatcher.may_leave and self.requests.is_idle

    @property
    def has_left(self) -> bool:
        """Whether, after `Leave`, no view names this balancer and nothing runs here any more."""
        return self.membership.has_left and self.dispatcher.is_idle


def data_centres_of(settings: BalancerSettings) -> tuple[DataCentreId, ...]:
    """Return the data centres of the address book, in the same order on every instance."""
    names = {address.data_centre for address in settings.balancers}
    return tuple(sorted(names | {settings.data_centre}))


def _to_member(address: InstanceAddress) -> Member:
    control = parse_endpoint(address.control)
    packets = parse_endpoint(address.packets or address.control)
    return Member(address.id, Incarnation(0), address.data_centre, control, packets)
