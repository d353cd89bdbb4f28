"""The slot table of a service: which upstream has the older flows and which takes new ones."""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from chicorypost.base import ServiceId, UpstreamId, hash64
from chicorypost.flows._messages import WHOLE_TABLE, SlotChange, SlotTableUpdate


class SlotPhase(Enum):
    """Whether the default alone tells where a flow of the slot belongs."""

    STABLE = 0
    """Every flow is on the default."""
    MOVING = 1
    """Flows are on the default or, registered at the owner, on the current upstream."""
    MIXED = 2
    """Registered flows may be on other upstreams, too."""


class SlotEntry(NamedTuple):
    """State of one slot; each version is that of the table when the field last changed."""

    default: UpstreamId | None
    default_version: int
    current: UpstreamId | None
    version: int
    phase: SlotPhase


EMPTY_SLOT = SlotEntry(None, 0, None, 0, SlotPhase.STABLE)


class SlotTable:
    """Slot table of one service at one version."""

    def __init__(self, service: ServiceId, slots: int) -> None:
        self.service = service
        self.version = 0
        self.entries = [EMPTY_SLOT] * slots
        self.moving: set[int] = set()
        self._digest: int | None = None

    def set_entry(self, slot: int, entry: SlotEntry) -> None:
        """Replace the state of one slot."""
        self._digest = None
        self.entries[slot] = entry
        if entry.phase is SlotPhase.STABLE:
            self.moving.discard(slot)
        else:
            self.moving.add(slot)

    def apply_update(self, update: SlotTableUpdate) -> list[int]:
        """Apply the changes that are newer than what the table has.

        Parameters
        ----------
        update : SlotTableUpdate
            An update whose base is not after the table's version.

        Returns
        -------
        list of int
            The slots that changed.
        """
        changed = []
        for change in update.changes:
            if not 0 <= change.slot < len(self.entries):
                continue
            if change.version <= self.entries[change.slot].version:
                continue
            self.set_entry(change.slot, _entry_from_change(update, change))
            changed.append(change.slot)
        self.version = max(self.version, update.version)
        return changed

    def update_since(self, base: int, domain: int, round: int = 0) -> SlotTableUpdate:
        """Return the update that brings a table of version `base` to this one."""
        slots = [
            slot
            for slot, entry in enumerate(self.entries)
            if entry.version > base or base == WHOLE_TABLE
        ]
        return self._build_update(base, domain, round, slots)

    def digest(self) -> int:
        """Return a hash of all slots."""
        if self._digest is None:
            self._digest = hash64(repr(self.entries).encode()) >> 1
        return self._digest

    def _build_update(
        self, base: int, domain: int, round: int, slots: Iterable[int]
    ) -> SlotTableUpdate:
        indexes: dict[UpstreamId, int] = {}

        def index(upstream: UpstreamId | None) -> int:
            return -1 if upstream is None else indexes.setdefault(upstream, len(indexes))

        changes = []
        for slot in slots:
            entry = self.entries[slot]
            default, current = index(entry.default), index(entry.current)
            phase = entry.phase.value
            changes.append(
                SlotChange(slot, default, entry.default_version, current, entry.version, int(phase))
            )
        return SlotTableUpdate(
            domain,
            round,
            self.service,
            base,
            self.version,
            len(self.entries),
            tuple(indexes),
            tuple(changes),
        )


def table_from_update(update: SlotTableUpdate) -> SlotTable:
    """Build a table from a whole update."""
    table = SlotTable(update.service, update.slots)
    table.apply_update(update)
    return table


def merge_entries(entries: Iterable[SlotEntry], version: int) -> SlotEntry:
    """Merge what several members say of one slot.

    Parameters
    ----------
    entries : iterable of SlotEntry
        States of the slot, at least one.
    version : int
        Version to give to the merged state where the members differ.

    Returns
    -------
    SlotEntry
        The common state, or one in which packets without a known upstream go to the owner.

    Notes
    -----
    Members differ when an update was under way, or after a network partition. Only the side that
    has the default's upstream may change the default, so its later version wins.
    """
    distinct = set(entries)
    if len(distinct) == 1:
        return distinct.pop()
    oldest = max(distinct, key=lambda entry: (entry.default_version, str(entry.default)))
    newest = max(distinct, key=lambda entry: (entry.version, str(entry.current)))
    return SlotEntry(
        oldest.default, oldest.default_version, newest.current, version, _merged_phase(distinct)
    )


def _merged_phase(distinct: set[SlotEntry]) -> SlotPhase:
    if all(entry.phase is SlotPhase.STABLE and entry.default is None for entry in distinct):
        return SlotPhase.STABLE
    targets = {entry.current for entry in distinct if entry.phase is not SlotPhase.STABLE}
    mixed = any(entry.phase is SlotPhase.MIXED for entry in distinct)
    defaults = {entry.default for entry in distinct}
    simple = len(targets) <= 1 and len(defaults) == 1 and not mixed
    return SlotPhase.MOVING if simple else SlotPhase.MIXED


def _entry_from_change(update: SlotTableUpdate, change: SlotChange) -> SlotEntry:
    def name(index: int) -> UpstreamId | None:
        return update.upstreams[index] if 0 <= index < len(update.upstreams) else None

    return SlotEntry(
        name(change.default),
        change.default_version,
        name(change.current),
        change.version,
        SlotPhase(change.phase) if change.phase in (0, 1, 2) else SlotPhase.MIXED,
    )
