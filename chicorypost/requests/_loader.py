"""Loading of partitions by a new owner from the other members of the view."""

from dataclasses import dataclass, field

from chicorypost.base import Effect, Epoch, InstanceId, Send
from chicorypost.requests._context import BalancerContext
from chicorypost.requests._messages import (
    CopyStatus,
    KeyRecord,
    PartitionCopy,
    PartitionFetch,
    PartitionQuery,
    PartitionReply,
)
from chicorypost.requests._partition import NO_EPOCH, Partition, is_complete
from chicorypost.requests._placement import PartitionPlacement


@dataclass(slots=True)
class PartitionLoad:
    """State of loading one partition.

    Parameters
    ----------
    partition : int
        The partition.
    copies : dict of InstanceId to CopyStatus
        Copy of each member of the view, including this instance.
    source : InstanceId or None
        Member that the records are fetched from.
    next_index : int
        Index of the next part to fetch.
    is_lost : bool
        Whether no member has a complete copy.
    replaces_local : bool
        Whether the records of `source` replace the local ones.
    """

    partition: int
    copies: dict[InstanceId, CopyStatus] = field(default_factory=dict)
    source: InstanceId | None = None
    next_index: int = 0
    is_lost: bool = False
    replaces_local: bool = False
    records: list[KeyRecord] = field(default_factory=list)
    key_time_floor: float = 0.0
    opaque_keys_unsafe_until: float = 0.0


class PartitionLoader:
    """Queries the copies of every member of a view, then fetches the best one of each partition.

    A member that replies has installed the view and no longer decides in these partitions. A member
    that cannot reply blocks the load until a view excludes it, which is after its lease has ended.
    """

    def __init__(self, context: BalancerContext) -> None:
        self.context = context
        self.epoch = Epoch(NO_EPOCH)
        self.awaited_members: set[InstanceId] = set()
        self.loads: dict[int, PartitionLoad] = {}
        self.finished_loads: list[PartitionLoad] = []

    @property
    def is_loading(self) -> bool:
        """Whether any partition is being loaded."""
        return bool(self.loads)

    def describe_copy(self, number: int, partition: Partition | None) -> CopyStatus:
        """Return the status of this instance's copy of a partition."""
        if partition is None:
            return CopyStatus(number, NO_EPOCH, NO_EPOCH, NO_EPOCH)
        return CopyStatus(
            number, partition.complete_until, partition.inactive_from, partition.inactive_until
        )

    def start_loads(
        self, placement: PartitionPlacement, partitions: list[Partition]
    ) -> list[Effect]:
        """Start to load partitions in a new view; loads of the previous view are dropped."""
        self.epoch = placement.view.epoch
        self.loads = {}
        own = self.context.self_key[0]
        for partition in partitions:
            load = self.loads[partition.number] = PartitionLoad(partition.number)
            load.copies[own] = self._describe_own_copy(partition)
        self.awaited_members = (
            {name for name, _ in placement if name != own} if partitions else set()
        )
        self._choose_sources()
        return self.repeat_messages()

    def _describe_own_copy(self, partition: Partition) -> CopyStatus:
        return CopyStatus(
            partition.number, partition.complete_until, partition.inactive_from, self.epoch
        )

    def repeat_messages(self) -> list[Effect]:
        """Return the unanswered queries, or the open fetches once all members have replied."""
        numbers = tuple(self.loads)
        if self.awaited_members and numbers:
            query = PartitionQuery(self.epoch, numbers)
            return [Send(name, query) for name in sorted(self.awaited_members)]
        return [self._fetch_part(load) for load in self.loads.values()]

    def _fetch_part(self, load: PartitionLoad) -> Effect:
        assert load.source is not None, "a load without a source is finished"
        return Send(load.source, PartitionFetch(self.epoch, load.partition, load.next_index))

    def handle_reply(self, sender: InstanceId, reply: PartitionReply) -> list[Effect]:
        """Store the copy statuses of a member; start to fetch when all members have replied."""
        if sender not in self.awaited_members:
            return []
        self.awaited_members.discard(sender)
        for copy_status in reply.copies:
            load = self.loads.get(copy_status.partition)
            if load is not None:
                load.copies[sender] = copy_status
        if self.awaited_members:
            return []
        self._choose_sources()
        return self.repeat_messages()

    def _choose_sources(self) -> None:
        if self.awaited_members:
            return
        for load in list(self.loads.values()):
            self._choose_source(load)
            if load.source is None:
                self._finish_load(load)

    def _choose_source(self, load: PartitionLoad) -> None:
        own = self.context.self_key[0]
        copies = load.copies
        best = max(copies, key=lambda name: (copies[name].complete_until, name == own, name))
        complete_until = copies[best].complete_until
        inactive_spans = [(each.inactive_from, each.inactive_until) for each in copies.values()]
        load.is_lost = not is_complete(complete_until, inactive_spans, self.epoch)
        load.replaces_local = best != own and not load.is_lost
        load.source = None if best == own or complete_until == NO_EPOCH else best

    def handle_copy(self, sender: InstanceId, copy: PartitionCopy) -> list[Effect]:
        """Store a part of a partition and fetch the next one."""
        load = self.loads.get(copy.partition)
        if load is None or load.source != sender or load.next_index != copy.index:
            return []
        load.records.extend(copy.records)
        load.key_time_floor = max(load.key_time_floor, copy.key_time_floor)
        load.opaque_keys_unsafe_until = max(
            load.opaque_keys_unsafe_until, copy.opaque_keys_unsafe_until
        )
        load.next_index += 1
        if copy.is_last:
            self._finish_load(load)
            return []
        return [self._fetch_part(load)]

    def _finish_load(self, load: PartitionLoad) -> None:
        del self.loads[load.partition]
        self.finished_loads.append(load)

    def pop_finished(self) -> list[PartitionLoad]:
        """Return and clear the finished loads."""
        finished_loads, self.finished_loads = self.finished_loads, []
        return finished_loads
