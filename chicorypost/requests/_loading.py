"""Loading of partitions by a new owner that does not hold them."""

from dataclasses import dataclass, field

from chicorypost.base import Effect, Epoch, InstanceId, Send
from chicorypost.requests._context import BalancerContext
from chicorypost.requests._messages import (
    Holding,
    KeyRecord,
    PartitionCopy,
    PartitionFetch,
    PartitionQuery,
    PartitionReply,
)
from chicorypost.requests._partition import NO_EPOCH, Partition, is_complete
from chicorypost.requests._placement import Placement


@dataclass(slots=True)
class Load:
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
    holdings: dict[InstanceId, Holding] = field(default_factory=dict)
    source: InstanceId | None = None
    next_index: int = 0
    is_lost: bool = False
    replaces_own: bool = False
    records: list[KeyRecord] = field(default_factory=list)
    floor: float = 0.0
    opaque_until: float = 0.0


class Loading:
    """Asks every member of a view for its copies, then fetches the best one of each partition.

    Each member that replies has installed the view and decides nothing in these partitions any
    more; one that can't reply holds up the load until a view excludes it, after its lease.
    """

    def __init__(self, context: BalancerContext) -> None:
        self.context = context
        self.epoch = Epoch(NO_EPOCH)
        self.awaited: set[InstanceId] = set()
        self.loads: dict[int, Load] = {}
        self.finished: list[Load] = []

    @property
    def is_busy(self) -> bool:
        """Whether any partition is being loaded."""
        return bool(self.loads)

    def holding(self, number: int, held: Partition | None) -> Holding:
        """Return what this instance holds of a partition."""
        if held is None:
            return Holding(number, NO_EPOCH, NO_EPOCH, NO_EPOCH)
        return Holding(number, held.complete_until, held.idle_from, held.idle_until)

    def start(self, placement: Placement, partitions: list[Partition]) -> list[Effect]:
        """Begin to load partitions in a new view; loads of the former view are given up."""
        self.epoch = placement.view.epoch
        self.loads = {}
        own = self.context.self_key[0]
        for held in partitions:
            load = self.loads[held.number] = Load(held.number)
            load.holdings[own] = self._own_holding(held)
        self.awaited = {name for name, _ in placement if name != own} if partitions else set()
        self._choose_sources()
        return self.repeat()

    def _own_holding(self, held: Partition) -> Holding:
        return Holding(held.number, held.complete_until, held.idle_from, self.epoch)

    def repeat(self) -> list[Effect]:
        """Return what is still unanswered: queries, then fetches."""
        numbers = tuple(self.loads)
        if self.awaited and numbers:
            query = PartitionQuery(self.epoch, numbers)
            return [Send(name, query) for name in sorted(self.awaited)]
        return [self._fetch(load) for load in self.loads.values()]

    def _fetch(self, load: Load) -> Effect:
        assert load.source is not None, "a load without a source is finished"
        return Send(load.source, PartitionFetch(self.epoch, load.partition, load.next_index))

    def take_reply(self, sender: InstanceId, reply: PartitionReply) -> list[Effect]:
        """Take the holdings of a member; when all have replied, fetch."""
        if sender not in self.awaited:
            return []
        self.awaited.discard(sender)
        for holding in reply.holdings:
            load = self.loads.get(holding.partition)
            if load is not None:
                load.holdings[sender] = holding
        if self.awaited:
            return []
        self._choose_sources()
        return self.repeat()

    def _choose_sources(self) -> None:
        if self.awaited:
            return
        for load in list(self.loads.values()):
            self._choose_source(load)
            if load.source is None:
                self._finish(load)

    def _choose_source(self, load: Load) -> None:
        own = self.context.self_key[0]
        holdings = load.holdings
        best = max(holdings, key=lambda name: (holdings[name].complete_until, name == own, name))
        complete_until = holdings[best].complete_until
        idle = [(each.idle_from, each.idle_until) for each in holdings.values()]
        load.is_lost = not is_complete(complete_until, idle, self.epoch)
        load.replaces_own = best != own and not load.is_lost
        load.source = None if best == own or complete_until == NO_EPOCH else best

    def take_copy(self, sender: InstanceId, copy: PartitionCopy) -> list[Effect]:
        """Take a part of a partition and ask for the next one."""
        load = self.loads.get(copy.partition)
        if load is None or load.source != sender or load.next_index != copy.index:
            return []
        load.records.extend(copy.records)
        load.floor = max(load.floor, copy.floor)
        load.opaque_until = max(load.opaque_until, copy.opaque_until)
        load.next_index += 1
        if copy.last:
            self._finish(load)
            return []
        return [self._fetch(load)]

    def _finish(self, load: Load) -> None:
        del self.loads[load.partition]
        self.finished.append(load)

    def take_finished(self) -> list[Load]:
        """Return and forget the loads that are complete."""
        finished, self.finished = self.finished, []
        return finished
