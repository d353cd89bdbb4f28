"""The balancers that must agree on a slot before it moves, and who owns what among them."""

from collections.abc import Iterable
from functools import cache

from chicorypost.base import (
    DataCentreId,
    InstanceId,
    Member,
    ServiceId,
    View,
    hash64,
    rendezvous_rank,
)

OWNERSHIP_BUCKETS = 256


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
        self.fingerprint = hash64((text + repr(incarnations)).encode()) >> 1
        self._owners_by_bucket: dict[int, tuple[InstanceId, ...]] = {}

    def owners(self, bucket: int) -> tuple[InstanceId, ...]:
        """Return the owner and, where there is one, the backup of an ownership bucket."""
        pair = self._owners_by_bucket.get(bucket)
        if pair is None:
            key = f"flows/{bucket}".encode()
            ranked = rendezvous_rank(key, (str(name) for name in self.members), 2)
            pair = self._owners_by_bucket[bucket] = tuple(InstanceId(name) for name in ranked)
        return pair

    def buckets_of(self, instance: InstanceId) -> frozenset[int]:
        """Return the buckets that an instance owns or backs up."""
        return frozenset(
            bucket for bucket in range(OWNERSHIP_BUCKETS) if instance in self.owners(bucket)
        )

    def coordinator(self, service: ServiceId) -> InstanceId:
        """Return the member that issues the slot table of a service."""
        return self.owners(bucket_of(service, 0))[0]


def bucket_of(service: ServiceId, slot: int) -> int:
    """Return the ownership bucket of a slot.

    Notes
    -----
    Buckets are shared by all services, so that the ranking of members is worked out once for each
    bucket and view, however many services there are.
    """
    return (_bucket_offset(service) + slot) % OWNERSHIP_BUCKETS


@cache
def _bucket_offset(service: ServiceId) -> int:
    return hash64(service.encode())
