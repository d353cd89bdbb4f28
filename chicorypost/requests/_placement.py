"""Placement of keys: a fixed number of partitions, each with an owner and a backup."""

from collections.abc import Iterator
from functools import lru_cache

from chicorypost.base import (
    Incarnation,
    InstanceId,
    Member,
    RequestKey,
    ServiceId,
    View,
    hash64,
    rendezvous_rank,
)

PARTITION_COUNT = 256
"""Partitions of a data centre's keys; the same on every instance."""

MemberKey = tuple[InstanceId, Incarnation]
"""One run of an instance: after a restart it holds nothing of what it held before."""

RecordId = tuple[ServiceId, RequestKey]


def partition_of(record: RecordId) -> int:
    """Return the partition of a key."""
    service, key = record
    return hash64(f"{service}\0{key}".encode()) % PARTITION_COUNT


def member_key(member: Member) -> MemberKey:
    """Return the identity of one run of a member."""
    return member.instance, member.incarnation


class PartitionPlacement:
    """Owners and backups of all partitions in one view."""

    def __init__(self, view: View) -> None:
        self.view = view
        self.members = {member.instance: member_key(member) for member in view.members}
        self.ranks = _rank_members(tuple(sorted(self.members)))

    def owner(self, partition: int) -> MemberKey | None:
        """Return the owner of a partition, or None in an empty view."""
        return self._member_at_rank(partition, 0)

    def backup(self, partition: int) -> MemberKey | None:
        """Return the backup of a partition, or None if the view has one member only."""
        return self._member_at_rank(partition, 1)

    def __contains__(self, member: object) -> bool:
        return member in self.members.values()

    def __iter__(self) -> Iterator[MemberKey]:
        return iter(self.members.values())

    def _member_at_rank(self, partition: int, rank: int) -> MemberKey | None:
        names = self.ranks[partition]
        return self.members[names[rank]] if rank < len(names) else None


@lru_cache(maxsize=64)
def _rank_members(names: tuple[InstanceId, ...]) -> list[list[InstanceId]]:
    texts = [str(name) for name in names]
    return [
        [InstanceId(name) for name in rendezvous_rank(b"requests/%d" % partition, texts, 2)]
        for partition in range(PARTITION_COUNT)
    ]
