"""Spread of records: reports to relays, digests, repair of gaps."""

from collections.abc import Iterable
from dataclasses import dataclass

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


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """A report and the relays that may not know of it."""

    record: DirectoryRecord
    relays: frozenset[InstanceId]
    retry_at: Instant


class Spread:
    """What keeps the records of this balancer and of the relays the same."""

    def __init__(
        self, settings: DirectorySettings, store: RecordStore, relays: Relays, vouching: Vouching
    ) -> None:
        self.settings = settings
        self.store = store
        self.relays = relays
        self.vouching = vouching
        self.unconfirmed: dict[UpstreamId, Unconfirmed] = {}
        self.synced: dict[tuple[InstanceId, DataCentreId], Instant] = {}

    def supersede(self, record: DirectoryRecord) -> None:
        """Stop repeating an older report of an upstream."""
        self.unconfirmed.pop(record.upstream.upstream, None)

    def next_deadline(self) -> Instant | None:
        """Return when the next report is to be repeated."""
        return min((waiting.retry_at for waiting in self.unconfirmed.values()), default=None)

    def report(self, records: list[DirectoryRecord], now: Instant) -> list[Effect]:
        """Tell the relays of changes, until each of them shows that it knows."""
        retry_at = Instant(now + self.settings.report_retry_seconds)
        targets = frozenset(self.relays.own()) - {self.relays.instance}
        for record in records:
            if targets:
                waiting = Unconfirmed(record, targets, retry_at)
                self.unconfirmed[record.upstream.upstream] = waiting
        report = DirectoryReport((), tuple(records))
        return [Send(relay, report) for relay in sorted(targets)]

    def repeat(self, now: Instant) -> list[Effect]:
        """Report again to the relays that may not know; one that is no relay any more need not."""
        relays = set(self.relays.own())
        retry_at = Instant(now + self.settings.report_retry_seconds)
        due: dict[InstanceId, list[DirectoryRecord]] = {}
        for name, waiting in list(self.unconfirmed.items()):
            if waiting.retry_at > now:
                continue
            pending = waiting.relays & relays
            if not pending:
                del self.unconfirmed[name]
                continue
            self.unconfirmed[name] = Unconfirmed(waiting.record, pending, retry_at)
            for relay in pending:
                due.setdefault(relay, []).append(waiting.record)
        return [Send(relay, DirectoryReport((), tuple(due[relay]))) for relay in sorted(due)]

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
                self._confirm(relay, line)
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

    def _confirm(self, relay: InstanceId, line: DigestLine) -> None:
        """Stop repeating reports to a relay that has the same records as this balancer."""
        if line.digest != self.store.digest(line.data_centre):
            return
        for name, waiting in list(self.unconfirmed.items()):
            if waiting.record.upstream.data_centre != line.data_centre:
                continue
            pending = waiting.relays - {relay}
            if pending:
                self.unconfirmed[name] = Unconfirmed(waiting.record, pending, waiting.retry_at)
            else:
                del self.unconfirmed[name]
