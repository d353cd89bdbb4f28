"""The balancers that must agree on a slot before it moves, and who owns what among them."""

from collections.abc import Iterable

from chicorypost.base import (
    DataCentreId,
    InstanceId,
    Member,
    ServiceId,
    View,
    hash64,
    rendezvous_rank,
)

OWNERSHIP_BUCKETS = 128


class Domain:
    """The live members of all data centres that can be reached.

    Two instances that know the same views have equal domains with the same number.

    Parameters
    ----------
    views : iterable of View
        The latest view of each data centre that can be reached.
    """

    def __init__(self, views: Iterable[View]) -> None:
        ordered = sorted(views, key=lambda view: view.data_centre)
        self.members: dict[InstanceId, Member] = {
            member.instance: member for view in ordered for member in view.members
        }
        self.data_centres: frozenset[DataCentreId] = frozenset(
            view.data_centre for view in ordered if view.members
        )
        text = repr(
            [
                (view.data_centre, view.epoch, sorted(m.instance for m in view.members))
                for view in ordered
            ]
        )
        incarnations = sorted((m.instance, m.incarnation) for m in self.members.values())
        self.number = hash64((text + repr(incarnations)).encode()) >> 1
        self._pairs: dict[tuple[ServiceId, int], tuple[InstanceId, ...]] = {}
        self._coordinators: dict[ServiceId, InstanceId] = {}

    def owners(self, service: ServiceId, bucket: int) -> tuple[InstanceId, ...]:
        """Return the owner and, where there is one, the backup of an ownership bucket."""
        pair = self._pairs.get((service, bucket))
        if pair is None:
            key = f"flows/{service}/{bucket}".encode()
            ranked = rendezvous_rank(key, (str(name) for name in self.members), 2)
            pair = tuple(InstanceId(name) for name in ranked)
            self._pairs[service, bucket] = pair
        return pair

    def coordinator(self, service: ServiceId) -> InstanceId:
        """Return the member that issues the slot table of a service."""
        name = self._coordinators.get(service)
        if name is None:
            key = f"table/{service}".encode()
            ranked = rendezvous_rank(key, (str(member) for member in self.members), 1)
            name = self._coordinators[service] = InstanceId(ranked[0])
        return name


def bucket_of(slot: int) -> int:
    """Return the ownership bucket of a slot."""
    return slot % OWNERSHIP_BUCKETS
