"""Views heard of, as differences and whole, and the tree along which they are passed on."""

from chicorypost.base import DataCentreId, Epoch, InstanceId
from chicorypost.membership._messages import EpochEntry, ViewUpdate
from chicorypost.membership._records import ViewRecord, apply_member_changes, empty_view

MAX_VIEWS_PER_DATA_CENTRE = 4
NO_ROOT = InstanceId("")


class ViewHistory:
    """The newest views of every data centre, with a few earlier ones to take differences from."""

    def __init__(self) -> None:
        self.records: dict[DataCentreId, list[ViewRecord]] = {}

    def newest_record(self, data_centre: DataCentreId) -> ViewRecord | None:
        """Return the newest view heard of a data centre, committed or not."""
        known = self.records.get(data_centre)
        return known[-1] if known else None

    def newest_epoch(self, data_centre: DataCentreId) -> Epoch:
        """Return the epoch of the newest view heard, or 0."""
        newest = self.newest_record(data_centre)
        return newest.epoch if newest is not None else Epoch(0)

    def add_record(self, record: ViewRecord) -> bool:
        """Take a view and return whether it is newer than all that were heard before."""
        known = self.records.setdefault(record.view.data_centre, [])
        if known and record.epoch <= known[-1].epoch:
            return False
        known.append(record)
        del known[:-MAX_VIEWS_PER_DATA_CENTRE]
        return True

    def epoch_entries(self) -> tuple[EpochEntry, ...]:
        """Return the newest epoch of every data centre."""
        return tuple(EpochEntry(name, self.newest_epoch(name)) for name in sorted(self.records))

    def make_update(self, root: InstanceId, record: ViewRecord, base_epoch: int) -> ViewUpdate:
        """Return the difference from the view at an epoch, or the whole view."""
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
        """Return the view that an update describes, or None if its base is not known."""
        known = self.records.get(update.data_centre, [])
        base = next((r.view for r in known if r.epoch == update.base_epoch), None)
        if update.base_epoch == 0:
            base = empty_view(update.data_centre)
        if base is None:
            return None
        view = apply_member_changes(base, update.epoch, update.joined, update.left)
        return ViewRecord(view, update.grantors)


def full_update(record: ViewRecord) -> ViewUpdate:
    """Return an update that needs no base and is not passed on."""
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
