"""The interface that every policy is measured behind."""

import random
from abc import abstractmethod
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from chicorypost.base import DataCentreId, FlowKey, Instant, ServiceId, Upstream, UpstreamId
from chicorypost.configuration import ConfigurationDocument
from chicorypost.flows import ParsedPacket

DeliveryCallback = Callable[[FlowKey, UpstreamId | None], None]
"""Called for each packet with its upstream, or None when the packet is dropped."""


class Policy:
    """Balancers of all data centres under one policy.

    Parameters
    ----------
    document : ConfigurationDocument
        The services.
    deliver : callable
        Told where each packet went.
    source : random.Random
        Source of randomness.
    """

    name: str

    def __init__(
        self, document: ConfigurationDocument, on_delivery: DeliveryCallback, rng: random.Random
    ) -> None:
        self.document = document
        self.on_delivery = on_delivery
        self.rng = rng
        self.sent_bytes: Counter[str] = Counter()
        self.packet_count = 0
        self.held_packet_count = 0

    @abstractmethod
    def start_balancer(self, balancer: str, place: DataCentreId, now: Instant) -> None:
        """Start a balancer that has no state."""

    @abstractmethod
    def stop_balancer(self, balancer: str) -> None:
        """Stop a balancer without notice."""

    @abstractmethod
    def update_upstreams(
        self,
        balancer: str,
        changed: Iterable[Upstream],
        removed: Iterable[UpstreamId],
        now: Instant,
    ) -> None:
        """Hand a change of upstreams to one balancer."""

    @abstractmethod
    def route_packet(self, balancer: str, packet: ParsedPacket, now: Instant) -> None:
        """Hand a packet to one balancer."""

    def set_members(self, places: Mapping[str, DataCentreId], now: Instant) -> None:
        """Issue new views of the live balancers."""

    def apply_configuration(
        self, balancer: str, document: ConfigurationDocument, now: Instant
    ) -> None:
        """Hand a new configuration to one balancer."""

    def report_load(self, load: Mapping[UpstreamId, int]) -> None:
        """Hand a load report to every balancer."""

    def advance_to(self, now: Instant) -> None:
        """Let time pass and deliver messages that have been under way."""

    def service_of(self, packet: ParsedPacket) -> ServiceId:
        """Return the service of a packet."""
        return next(
            name
            for name, spec in self.document.services.items()
            if packet.address in spec.addresses
        )
