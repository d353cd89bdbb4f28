"""Spread of records: reports to relays, digests, repair of gaps."""

from collections.abc import Iterable

from chicorypost.base import DataCentreId, Effect, InstanceId, Instant, Send, UpstreamId
from chicorypost.upstreams._directory_messages import (
    DigestLine,
    DirectoryRecord,
    DirectoryRepair,
    DirectoryReport,
    DirectorySync,
)
from chicorypost.upstreams._records import RecordStore
from chicorypost.upstreams._relay import Relays
from chicorypost.upstreams._settings import DirectorySettings
from chicorypost.upstreams._vouching import Vouching

MILLISECONDS = 1000


class Spread:
    """What keeps the records of this balancer and of the relays the same."""

    def __init__(
        self, settings: DirectorySettings, store: RecordStore, relays: Relays, vouching: Vouching
    ) -> None:
        self.settings = settings
        self.store = store
        self.relays = relays
        self.vouching = vouching
        self.unconfirmed: dict[UpstreamId, tuple[DirectoryRecord, Instant]] = {}
        self.synced: dict[tuple[InstanceId, DataCentreId], Instant] = {}

    def confirm(self, record: DirectoryRecord, is_news: bool) -> None:
        """Stop repeating a report that a record from elsewhere repeats or replaces."""
        name = record.upstream.upstream
        waiting = self.unconfirmed.get(name)
        if waiting is not None and (is_news or waiting[0] == record):
            del self.unconfirmed[name]

    def due(self, now: Instant) -> list[DirectoryRecord]:
        """Return the reports to repeat."""
        return [record for record, at in self.unconfirmed.values() if at <= now]

    def next_deadline(self) -> Instant | None:
        """Return when the next report is to be repeated."""
        return min((at for _, at in self.unconfirmed.values()), default=None)

    def report(self, records: list[DirectoryRecord], now: Instant) -> list[Effect]:
        """Tell the relays of changes, until one of them shows that it knows."""
        retry_at = Instant(now + self.settings.heartbeat_seconds)
        targets = self.relays.own()
        for record in records:
            if targets != [self.relays.instance]:
                self.unconfirmed[record.upstream.upstream] = (record, retry_at)
        report = DirectoryReport((), tuple(records))
        return [Send(relay, report) for relay in targets if relay != self.relays.instance]

    def lines(self, now: Instant) -> list[DigestLine]:
        """Return digest and vouching of every data centre."""
        lines = []
        for data_centre in self.data_centres():
            remaining = self.vouching.remaining(data_centre, now)
            digest = self.store.digest(data_centre)
            lines.append(DigestLine(data_centre, digest, int(remaining * MILLISECONDS)))
        return lines

    def compare(self, relay: InstanceId, lines: Iterable[DigestLine], now: Instant) -> list[Effect]:
        """Compare digests with a relay: extend the vouching, or ask for what differs."""
        effects: list[Effect] = []
        for line in lines:
            if self.store.knew(line.data_centre, line.digest, now):
                self.vouching.extend(line.data_centre, line.vouched_ms / MILLISECONDS, now)
                self._confirm_digest(line)
                continue
            last = self.synced.get((relay, line.data_centre))
            if last is None or now - last >= self.settings.heartbeat_seconds / 2:
                self.synced[relay, line.data_centre] = now
                buckets = self.store.bucket_digests(line.data_centre)
                effects.append(Send(relay, DirectorySync(line.data_centre, buckets)))
        return effects

    def repair(
        self, sender: InstanceId, data_centre: DataCentreId, buckets: tuple[int, ...]
    ) -> list[Effect]:
        """Send the records of the buckets that differ from another balancer's."""
        own = self.store.bucket_digests(data_centre)
        if len(buckets) != len(own):
            return []
        differing = [number for number, digest in enumerate(own) if digest != buckets[number]]
        effects: list[Effect] = []
        for number in differing[: self.settings.repair_buckets]:
            records = tuple(self.store.in_bucket(data_centre, number))
            effects.append(Send(sender, DirectoryRepair(data_centre, (number,), records)))
        return effects

    def newer_than(
        self,
        data_centre: DataCentreId,
        numbers: Iterable[int],
        records: Iterable[DirectoryRecord],
    ) -> list[DirectoryRecord]:
        """Return the records of some buckets that a relay did not send."""
        theirs = set(records)
        return [
            record
            for number in numbers
            if number < self.settings.digest_buckets
            for record in self.store.in_bucket(data_centre, number)
            if record not in theirs
        ]

    def data_centres(self) -> list[DataCentreId]:
        """Return the data centres that are known."""
        return sorted({self.relays.data_centre, *self.store.buckets})

    def _confirm_digest(self, line: DigestLine) -> None:
        """Stop repeating reports once a relay has the same records as this balancer."""
        if line.digest != self.store.digest(line.data_centre):
            return
        for name, (record, _) in list(self.unconfirmed.items()):
            if record.upstream.data_centre == line.data_centre:
                del self.unconfirmed[name]
