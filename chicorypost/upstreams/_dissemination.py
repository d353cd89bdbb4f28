"""Spread of records: reports to relays, digests, repair of gaps."""

from collections.abc import Iterable
from dataclasses import dataclass

from chicorypost.base import DataCentreId, Effect, InstanceId, Instant, Send, UpstreamId
from chicorypost.upstreams._directory_messages import (
    DigestEntry,
    DirectoryRecord,
    DirectoryRepair,
    DirectoryReport,
    DirectorySyncRequest,
)
from chicorypost.upstreams._liveness import LivenessConfirmation
from chicorypost.upstreams._records import RecordStore
from chicorypost.upstreams._relay import Relays
from chicorypost.upstreams._settings import DirectorySettings

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class UnconfirmedReport:
    """A report and the relays that may not know of it."""

    record: DirectoryRecord
    pending_relays: frozenset[InstanceId]
    retry_at: Instant


class DirectoryDissemination:
    """What keeps the records of this balancer and of the relays the same."""

    def __init__(
        self,
        settings: DirectorySettings,
        store: RecordStore,
        relays: Relays,
        vouching: LivenessConfirmation,
    ) -> None:
        self.settings = settings
        self.store = store
        self.relays = relays
        self.liveness = vouching
        self.unconfirmed_reports: dict[UpstreamId, UnconfirmedReport] = {}
        self.last_sync: dict[tuple[InstanceId, DataCentreId], Instant] = {}

    def drop_superseded_report(self, record: DirectoryRecord) -> None:
        """Stop repeating an older report of an upstream."""
        self.unconfirmed_reports.pop(record.upstream.upstream, None)

    def next_deadline(self) -> Instant | None:
        """Return when the next report is to be repeated."""
        return min(
            (waiting.retry_at for waiting in self.unconfirmed_reports.values()), default=None
        )

    def report_records(self, records: list[DirectoryRecord], now: Instant) -> list[Effect]:
        """Tell the relays of changes, until each of them shows that it knows."""
        retry_at = Instant(now + self.settings.report_retry_seconds)
        targets = frozenset(self.relays.own_relays()) - {self.relays.instance}
        for record in records:
            if targets:
                waiting = UnconfirmedReport(record, targets, retry_at)
                self.unconfirmed_reports[record.upstream.upstream] = waiting
        report = DirectoryReport((), tuple(records))
        return [Send(relay, report) for relay in sorted(targets)]

    def resend_due_reports(self, now: Instant) -> list[Effect]:
        """Report again to the relays that may not know; one that is no relay any more need not."""
        relays = set(self.relays.own_relays())
        retry_at = Instant(now + self.settings.report_retry_seconds)
        due: dict[InstanceId, list[DirectoryRecord]] = {}
        for name, waiting in list(self.unconfirmed_reports.items()):
            if waiting.retry_at > now:
                continue
            pending = waiting.pending_relays & relays
            if not pending:
                del self.unconfirmed_reports[name]
                continue
            self.unconfirmed_reports[name] = UnconfirmedReport(waiting.record, pending, retry_at)
            for relay in pending:
                due.setdefault(relay, []).append(waiting.record)
        return [Send(relay, DirectoryReport((), tuple(due[relay]))) for relay in sorted(due)]

    def digest_entries(self, now: Instant) -> list[DigestEntry]:
        """Return digest and vouching of every data centre."""
        lines = []
        for data_centre in self.data_centres():
            remaining = self.liveness.remaining_seconds(data_centre, now)
            digest = self.store.digest(data_centre)
            lines.append(DigestEntry(data_centre, digest, int(remaining * MILLISECONDS_PER_SECOND)))
        return lines

    def compare_digests(
        self, relay: InstanceId, lines: Iterable[DigestEntry], now: Instant
    ) -> list[Effect]:
        """Compare digests with a relay: extend the vouching, or ask for what differs."""
        effects: list[Effect] = []
        for line in lines:
            if self.store.had_digest_recently(line.data_centre, line.digest, now):
                self.liveness.extend_confirmation(
                    line.data_centre, line.confirmed_ms / MILLISECONDS_PER_SECOND, now
                )
                self._confirm_reports(relay, line)
                continue
            last = self.last_sync.get((relay, line.data_centre))
            if last is None or now - last >= self.settings.heartbeat_seconds / 2:
                self.last_sync[relay, line.data_centre] = now
                buckets = self.store.bucket_digests(line.data_centre)
                effects.append(Send(relay, DirectorySyncRequest(line.data_centre, buckets)))
        return effects

    def send_repairs(
        self, sender: InstanceId, data_centre: DataCentreId, buckets: tuple[int, ...]
    ) -> list[Effect]:
        """Send the records of the buckets that differ from another balancer's."""
        own = self.store.bucket_digests(data_centre)
        if len(buckets) != len(own):
            return []
        differing = [number for number, digest in enumerate(own) if digest != buckets[number]]
        effects: list[Effect] = []
        for number in differing[: self.settings.repair_buckets]:
            records = tuple(self.store.records_in_bucket(data_centre, number))
            effects.append(Send(sender, DirectoryRepair(data_centre, (number,), records)))
        return effects

    def records_missing_from(
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
            for record in self.store.records_in_bucket(data_centre, number)
            if record not in theirs
        ]

    def data_centres(self) -> list[DataCentreId]:
        """Return the data centres that are known."""
        return sorted({self.relays.data_centre, *self.store.digests_by_bucket})

    def _confirm_reports(self, relay: InstanceId, line: DigestEntry) -> None:
        """Stop repeating reports to a relay that has the same records as this balancer."""
        if line.digest != self.store.digest(line.data_centre):
            return
        for name, waiting in list(self.unconfirmed_reports.items()):
            if waiting.record.upstream.data_centre != line.data_centre:
                continue
            pending = waiting.pending_relays - {relay}
            if pending:
                self.unconfirmed_reports[name] = UnconfirmedReport(
                    waiting.record, pending, waiting.retry_at
                )
            else:
                del self.unconfirmed_reports[name]
