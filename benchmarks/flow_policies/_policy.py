"""Common interface of the routing policies that the benchmarks compare."""

import random
from abc import abstractmethod
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from chicorypost.base import DataCentreId, FlowKey, Instant, ServiceId, Upstream, UpstreamId
from chicorypost.configuration import ConfigurationDocument
from chicorypost.flows import ParsedPacket

DeliveryCallback = Callable[[FlowKey, UpstreamId | None], None]
"""Called for each packet with its flow and upstream, or None for a dropped packet."""


class Policy:
    """Balancers of all data centres that route packets by one policy.

    Parameters
    ----------
    document : ConfigurationDocument
        Configuration with the services and their addresses.
    on_delivery : callable
        Called with the flow and the chosen upstream of each packet.
    rng : random.Random
        Random number generator of the policy.
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
    def start_balancer(self, balancer: str, data_centre: DataCentreId, now: Instant) -> None:
        """Start a balancer without state."""

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
        """Apply a change of upstreams to one balancer."""

    @abstractmethod
    def route_packet(self, balancer: str, packet: ParsedPacket, now: Instant) -> None:
        """Route a packet that one balancer receives."""

    def set_members(self, data_centres: Mapping[str, DataCentreId], now: Instant) -> None:
        """Publish new views with the live balancers of each data centre."""

    def apply_configuration(
        self, balancer: str, document: ConfigurationDocument, now: Instant
    ) -> None:
        """Apply a new configuration to one balancer."""

    def report_load(self, load: Mapping[UpstreamId, int]) -> None:
        """Deliver the number of connections by upstream to every balancer."""

    def advance_to(self, now: Instant) -> None:
        """Advance simulated time and deliver the messages and events that are due."""

    def service_of(self, packet: ParsedPacket) -> ServiceId:
        """Return the service that a packet is addressed to."""
        return next(
            name
            for name, spec in self.document.services.items()
            if packet.address in spec.addresses
        )
