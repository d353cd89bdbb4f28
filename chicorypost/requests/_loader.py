"""Loading of partitions by a new owner that does not hold them."""

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
    """Loading of one partition.

    Parameters
    ----------
    partition : int
        The partition.
    holdings : dict of InstanceId to Holding
        What each member of the view holds, this instance included.
    source : InstanceId or None
        Where the records are fetched from.
    next_index : int
        The next part to fetch.
    is_lost : bool
        Whether no copy is complete.
    replaces_own : bool
        Whether the records of `source` replace those held here.
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
    """Asks every member of a view for its copies, then fetches the best one of each partition.

    Each member that replies has installed the view and decides nothing in these partitions any
    more; one that can't reply holds up the load until a view excludes it, after its lease.
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

    def describe_copy(self, number: int, held: Partition | None) -> CopyStatus:
        """Return what this instance holds of a partition."""
        if held is None:
            return CopyStatus(number, NO_EPOCH, NO_EPOCH, NO_EPOCH)
        return CopyStatus(number, held.complete_until, held.inactive_from, held.inactive_until)

    def start_loads(
        self, placement: PartitionPlacement, partitions: list[Partition]
    ) -> list[Effect]:
        """Begin to load partitions in a new view; loads of the former view are given up."""
        self.epoch = placement.view.epoch
        self.loads = {}
        own = self.context.self_key[0]
        for held in partitions:
            load = self.loads[held.number] = PartitionLoad(held.number)
            load.copies[own] = self._describe_own_copy(held)
        self.awaited_members = (
            {name for name, _ in placement if name != own} if partitions else set()
        )
        self._choose_sources()
        return self.repeat_messages()

    def _describe_own_copy(self, held: Partition) -> CopyStatus:
        return CopyStatus(held.number, held.complete_until, held.inactive_from, self.epoch)

    def repeat_messages(self) -> list[Effect]:
        """Return what is still unanswered: queries, then fetches."""
        numbers = tuple(self.loads)
        if self.awaited_members and numbers:
            query = PartitionQuery(self.epoch, numbers)
            return [Send(name, query) for name in sorted(self.awaited_members)]
        return [self._fetch_part(load) for load in self.loads.values()]

    def _fetch_part(self, load: PartitionLoad) -> Effect:
        assert load.source is not None, "a load without a source is finished"
        return Send(load.source, PartitionFetch(self.epoch, load.partition, load.next_index))

    def handle_reply(self, sender: InstanceId, reply: PartitionReply) -> list[Effect]:
        """Take the holdings of a member; when all have replied, fetch."""
        if sender not in self.awaited_members:
            return []
        self.awaited_members.discard(sender)
        for holding in reply.copies:
            load = self.loads.get(holding.partition)
            if load is not None:
                load.copies[sender] = holding
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
        holdings = load.copies
        best = max(holdings, key=lambda name: (holdings[name].complete_until, name == own, name))
        complete_until = holdings[best].complete_until
        idle = [(each.inactive_from, each.inactive_until) for each in holdings.values()]
        load.is_lost = not is_complete(complete_until, idle, self.epoch)
        load.replaces_local = best != own and not load.is_lost
        load.source = None if best == own or complete_until == NO_EPOCH else best

    def handle_copy(self, sender: InstanceId, copy: PartitionCopy) -> list[Effect]:
        """Take a part of a partition and ask for the next one."""
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
        """Return and forget the loads that are complete."""
        finished, self.finished_loads = self.finished_loads, []
        return finished
