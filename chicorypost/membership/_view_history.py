"""Received views and the updates that carry them, as a difference or in full."""

from chicorypost.base import DataCentreId, Epoch, InstanceId
from chicorypost.membership._messages import EpochEntry, ViewUpdate
from chicorypost.membership._records import ViewRecord, apply_member_changes, empty_view

MAX_VIEWS_PER_DATA_CENTRE = 4
NO_ROOT = InstanceId("")


class ViewHistory:
    """The newest view of each data centre and a few earlier ones as bases of updates."""

    def __init__(self) -> None:
        self.records: dict[DataCentreId, list[ViewRecord]] = {}

    def newest_record(self, data_centre: DataCentreId) -> ViewRecord | None:
        """Return the newest received view of a data centre, committed or not."""
        records = self.records.get(data_centre)
        return records[-1] if records else None

    def newest_epoch(self, data_centre: DataCentreId) -> Epoch:
        """Return the epoch of the newest received view, or 0."""
        newest = self.newest_record(data_centre)
        return newest.epoch if newest is not None else Epoch(0)

    def add_record(self, record: ViewRecord) -> bool:
        """Add a view and return whether it is newer than all earlier ones."""
        records = self.records.setdefault(record.view.data_centre, [])
        if records and record.epoch <= records[-1].epoch:
            return False
        records.append(record)
        del records[:-MAX_VIEWS_PER_DATA_CENTRE]
        return True

    def epoch_entries(self) -> tuple[EpochEntry, ...]:
        """Return the newest epoch of each data centre."""
        return tuple(EpochEntry(name, self.newest_epoch(name)) for name in sorted(self.records))

    def make_update(self, root: InstanceId, record: ViewRecord, base_epoch: int) -> ViewUpdate:
        """Return the difference from the view at `base_epoch`, or a full update without a base."""
        data_centre = record.view.data_centre
        base = next((r for r in self.records.get(data_centre, ()) if r.epoch == base_epoch), None)
        before = base.view if base is not None else empty_view(data_centre)
        old, new = set(before.members), set(record.view.members)
        names = {member.instance for member in new}
        joined = tuple(m for m in record.view.members if m not in old)
        left = tuple(m.instance for m in before.members if m.instance not in names)
        return ViewUpdate(
            root, data_centre, record.epoch, before.epoch, joined, left, record.grantors
        )

    def apply_update(self, update: ViewUpdate) -> ViewRecord | None:
        """Return the view after an update, or None if its base is unknown."""
        records = self.records.get(update.data_centre, [])
        base = next((r.view for r in records if r.epoch == update.base_epoch), None)
        if update.base_epoch == 0:
            base = empty_view(update.data_centre)
        if base is None:
            return None
        view = apply_member_changes(base, update.epoch, update.joined, update.left)
        return ViewRecord(view, update.grantors)


def full_update(record: ViewRecord) -> ViewUpdate:
    """Return an update that needs no base and is not forwarded."""
    view = record.view
    return ViewUpdate(
        NO_ROOT,
        view.data_centre,
        view.epoch,
        Epoch(0),
        view.members,
        (),
        record.grantors,
    )
