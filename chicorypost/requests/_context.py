"""What all request machines of one balancer know of their surroundings."""

import math

from chicorypost.base import (
    DataCentreId,
    Epoch,
    Instant,
    Member,
    RequestKey,
    ServiceId,
    View,
    WallTime,
)
from chicorypost.configuration import ConfigurationDocument, ServiceSpec
from chicorypost.requests._key import home_data_centre_of
from chicorypost.requests._placement import (
    MemberKey,
    PartitionPlacement,
    RecordId,
    member_key,
    partition_of,
)
from chicorypost.requests._settings import RequestSettings


class BalancerContext:
    """Views, lease, configuration and wall clock of one balancer.

    Parameters
    ----------
    settings : RequestSettings
        Bounds and intervals.
    member : Member
        This balancer.
    now : Instant
        Current time.
    wall : WallTime
        Wall-clock time at `now`.
    """

    def __init__(
        self, settings: RequestSettings, member: Member, now: Instant, wall: WallTime
    ) -> None:
        self.settings = settings
        self.member = member
        self.self_key = member_key(member)
        self.data_centres = settings.data_centres or (member.data_centre,)
        self.placements: dict[DataCentreId, PartitionPlacement] = {}
        self.lease_end: Instant | None = None
        self.lease_granted_until = Instant(-math.inf)
        self.configuration = ConfigurationDocument()
        self.wall_offset = wall - now
        self.is_draining = False
        self.has_lease_lapsed = True

    def install_view(self, view: View) -> bool:
        """Take a view; return False if a view at least as new is known."""
        known = self.placements.get(view.data_centre)
        if known is not None and view.epoch <= known.view.epoch:
            return False
        self.placements[view.data_centre] = PartitionPlacement(view)
        return True

    def set_lease(self, end: Instant | None, now: Instant) -> None:
        """Take a lease; one that is regained in the same view has missed no view.

        A lease that is taken away early, as at each change of the view, still keeps this instance
        in every view until the time to which it was granted.
        """
        self.lease_end = end
        if end is not None:
            self.lease_granted_until = end
        self.has_lease_lapsed = now >= self.lease_granted_until

    def update_lease_state(self, now: Instant) -> None:
        """Notice that the lease has ended: another view may exclude this instance."""
        self.has_lease_lapsed = self.has_lease_lapsed or now >= self.lease_granted_until

    def update_wall_clock(self, wall: WallTime, now: Instant) -> None:
        """Take a reading of the wall clock."""
        self.wall_offset = wall - now

    def wall_time(self, now: Instant) -> WallTime:
        """Return the wall-clock time by the last reading."""
        return WallTime(now + self.wall_offset)

    def has_valid_lease(self, now: Instant) -> bool:
        """Return whether the lease of this balancer still runs."""
        return self.lease_end is not None and now < self.lease_end

    def own_placement(self) -> PartitionPlacement | None:
        """Return the placement of this balancer's data centre."""
        return self.placements.get(self.member.data_centre)

    def own_epoch(self) -> Epoch:
        """Return the epoch of this balancer's data centre; -1 before the first view."""
        placement = self.own_placement()
        return Epoch(-1) if placement is None else placement.view.epoch

    def find_owner(self, record: RecordId) -> MemberKey | None:
        """Return the owner of a key as this balancer knows it, or None."""
        placement = self.placements.get(self.home_data_centre(record[1]))
        return None if placement is None else placement.owner(partition_of(record))

    def home_data_centre(self, key: RequestKey) -> DataCentreId:
        """Return the data centre that owns a key."""
        return home_data_centre_of(key, self.data_centres)

    def is_in_any_view(self, member: MemberKey) -> bool:
        """Return whether a run of an instance is in any known view."""
        return any(member in placement for placement in self.placements.values())

    def is_replaced(self, member: MemberKey) -> bool:
        """Return whether a later run of the instance is known."""
        name, incarnation = member
        runs = (placement.members.get(name) for placement in self.placements.values())
        return any(run is not None and run[1] > incarnation for run in runs)

    def find_service_spec(self, service: ServiceId) -> ServiceSpec | None:
        """Return the configuration of a service, or None."""
        return self.configuration.services.get(service)
