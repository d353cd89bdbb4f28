"""Dissemination of records: reports to relays, digest comparison and repair."""

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
    """A reported record and the relays that have not confirmed it."""

    record: DirectoryRecord
    pending_relays: frozenset[InstanceId]
    retry_at: Instant


class DirectoryDissemination:
    """Synchronizes the records of this balancer with those of the relays."""

    def __init__(
        self,
        settings: DirectorySettings,
        store: RecordStore,
        relays: Relays,
        liveness: LivenessConfirmation,
    ) -> None:
        self.settings = settings
        self.store = store
        self.relays = relays
        self.liveness = liveness
        self.unconfirmed_reports: dict[UpstreamId, UnconfirmedReport] = {}
        self.last_sync: dict[tuple[InstanceId, DataCentreId], Instant] = {}

    def drop_superseded_report(self, record: DirectoryRecord) -> None:
        """Stop resending an older report of an upstream."""
        self.unconfirmed_reports.pop(record.upstream.upstream, None)

    def next_deadline(self) -> Instant | None:
        """Return when the next report is due to be resent, or None."""
        return min(
            (unconfirmed.retry_at for unconfirmed in self.unconfirmed_reports.values()),
            default=None,
        )

    def report_records(self, records: list[DirectoryRecord], now: Instant) -> list[Effect]:
        """Report changes to the relays; they are resent until each relay confirms them."""
        retry_at = Instant(now + self.settings.report_retry_seconds)
        targets = frozenset(self.relays.own_relays()) - {self.relays.instance}
        for record in records:
            if targets:
                unconfirmed = UnconfirmedReport(record, targets, retry_at)
                self.unconfirmed_reports[record.upstream.upstream] = unconfirmed
        report = DirectoryReport((), tuple(records))
        return [Send(relay, report) for relay in sorted(targets)]

    def resend_due_reports(self, now: Instant) -> list[Effect]:
        """Resend due reports to the current relays that have not confirmed them."""
        relays = set(self.relays.own_relays())
        retry_at = Instant(now + self.settings.report_retry_seconds)
        due: dict[InstanceId, list[DirectoryRecord]] = {}
        for name, unconfirmed in list(self.unconfirmed_reports.items()):
            if unconfirmed.retry_at > now:
                continue
            pending = unconfirmed.pending_relays & relays
            if not pending:
                del self.unconfirmed_reports[name]
                continue
            self.unconfirmed_reports[name] = UnconfirmedReport(
                unconfirmed.record, pending, retry_at
            )
            for relay in pending:
                due.setdefault(relay, []).append(unconfirmed.record)
        return [Send(relay, DirectoryReport((), tuple(due[relay]))) for relay in sorted(due)]

    def digest_entries(self, now: Instant) -> list[DigestEntry]:
        """Return the digest and the remaining confirmation time of every data centre."""
        entries = []
        for data_centre in self.data_centres():
            remaining = self.liveness.remaining_seconds(data_centre, now)
            digest = self.store.digest(data_centre)
            entries.append(
                DigestEntry(data_centre, digest, int(remaining * MILLISECONDS_PER_SECOND))
            )
        return entries

    def compare_digests(
        self, relay: InstanceId, entries: Iterable[DigestEntry], now: Instant
    ) -> list[Effect]:
        """Extend the confirmation where the digests of a relay match, else request the records."""
        effects: list[Effect] = []
        for entry in entries:
            if self.store.had_digest_recently(entry.data_centre, entry.digest, now):
                self.liveness.extend_confirmation(
                    entry.data_centre, entry.confirmed_ms / MILLISECONDS_PER_SECOND, now
                )
                self._confirm_reports(relay, entry)
                continue
            last_sync = self.last_sync.get((relay, entry.data_centre))
            if last_sync is None or now - last_sync >= self.settings.heartbeat_seconds / 2:
                self.last_sync[relay, entry.data_centre] = now
                buckets = self.store.bucket_digests(entry.data_centre)
                effects.append(Send(relay, DirectorySyncRequest(entry.data_centre, buckets)))
        return effects

    def send_repairs(
        self, sender: InstanceId, data_centre: DataCentreId, bucket_digests: tuple[int, ...]
    ) -> list[Effect]:
        """Return messages with the records of the buckets whose digests differ."""
        own_digests = self.store.bucket_digests(data_centre)
        if len(bucket_digests) != len(own_digests):
            return []
        differing = [
            number for number, digest in enumerate(own_digests) if digest != bucket_digests[number]
        ]
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
        """Return the records of some buckets that a repair did not contain."""
        received = set(records)
        return [
            record
            for number in numbers
            if number < self.settings.digest_buckets
            for record in self.store.records_in_bucket(data_centre, number)
            if record not in received
        ]

    def data_centres(self) -> list[DataCentreId]:
        """Return the known data centres, including the own one, in sorted order."""
        return sorted({self.relays.data_centre, *self.store.digests_by_bucket})

    def _confirm_reports(self, relay: InstanceId, entry: DigestEntry) -> None:
        """Stop resending reports to a relay whose digest equals that of this balancer."""
        if entry.digest != self.store.digest(entry.data_centre):
            return
        for name, unconfirmed in list(self.unconfirmed_reports.items()):
            if unconfirmed.record.upstream.data_centre != entry.data_centre:
                continue
            pending = unconfirmed.pending_relays - {relay}
            if pending:
                self.unconfirmed_reports[name] = UnconfirmedReport(
                    unconfirmed.record, pending, unconfirmed.retry_at
                )
            else:
                del self.unconfirmed_reports[name]
