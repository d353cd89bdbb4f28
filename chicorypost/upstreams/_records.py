"""Store of directory records with an order-independent merge and digests."""

from collections import defaultdict, deque

import msgspec

from chicorypost.base import (
    DataCentreId,
    Endpoint,
    Instant,
    ServiceId,
    Upstream,
    UpstreamId,
    UpstreamState,
    hash64,
)
from chicorypost.upstreams._directory_messages import DirectoryRecord

DIGEST_HISTORY_LENGTH = 32
DIGEST_HISTORY_SECONDS = 0.5
STATE_RANK = {UpstreamState.STARTING: 0, UpstreamState.READY: 1, UpstreamState.DRAINING: 2}


def record_sort_key(record: DirectoryRecord) -> tuple[int, int, int, bool, int, int]:
    """Return the sort key of a record; of two records of an upstream, the greater is newer."""
    upstream = record.upstream
    rank = STATE_RANK[upstream.state]
    tie_breaker = hash_record(record)
    revision = record.revision
    return (
        upstream.incarnation,
        rank,
        revision,
        not record.is_removed,
        record.warm_up_stage,
        tie_breaker,
    )


def hash_record(record: DirectoryRecord) -> int:
    """Return a hash of the full content of a record."""
    return hash64(msgspec.json.encode(record))


def claimed_endpoints(upstream: Upstream) -> set[Endpoint]:
    """Return the endpoints that an upstream claims."""
    return {upstream.packets, upstream.requests}


class RecordStore:
    """All records, indexed by upstream, endpoint, service and data centre.

    Parameters
    ----------
    buckets : int
        Number of digest buckets per data centre.
    """

    def __init__(self, buckets: int) -> None:
        self.bucket_count = buckets
        self.records: dict[UpstreamId, DirectoryRecord] = {}
        self.hashes: dict[UpstreamId, int] = {}
        self.claimants: dict[Endpoint, set[UpstreamId]] = defaultdict(set)
        self.upstreams_by_service: dict[ServiceId, set[UpstreamId]] = defaultdict(set)
        self.digests_by_bucket: dict[DataCentreId, list[int]] = {}
        self.upstreams_by_bucket: dict[DataCentreId, list[set[UpstreamId]]] = {}
        self.digests: dict[DataCentreId, int] = {}
        self.digest_history: dict[DataCentreId, deque[tuple[int, Instant]]] = {}

    def is_newer(self, record: DirectoryRecord) -> bool:
        """Return whether a record is newer than the stored record of its upstream."""
        known = self.records.get(record.upstream.upstream)
        return known is None or record_sort_key(record) > record_sort_key(known)

    def put_record(self, record: DirectoryRecord, now: Instant) -> None:
        """Store a newer record in place of the stored record of its upstream."""
        name = record.upstream.upstream
        self.remove_record(name, now)
        self.records[name] = record
        data_centre = record.upstream.data_centre
        number = self._bucket_of(name)
        self._ensure_buckets(data_centre)
        self.upstreams_by_bucket[data_centre][number].add(name)
        if record.is_removed:
            return
        for endpoint in claimed_endpoints(record.upstream):
            self.claimants[endpoint].add(name)
        self.upstreams_by_service[record.upstream.service].add(name)
        self.hashes[name] = hash_record(record)
        self._toggle_hash(data_centre, number, self.hashes[name], now)

    def remove_record(self, name: UpstreamId, now: Instant) -> None:
        """Remove the record of an upstream."""
        record = self.records.pop(name, None)
        if record is None:
            return
        data_centre = record.upstream.data_centre
        number = self._bucket_of(name)
        self.upstreams_by_bucket[data_centre][number].discard(name)
        if record.is_removed:
            return
        for endpoint in claimed_endpoints(record.upstream):
            self.claimants[endpoint].discard(name)
            if not self.claimants[endpoint]:
                del self.claimants[endpoint]
        self.upstreams_by_service[record.upstream.service].discard(name)
        self._toggle_hash(data_centre, number, self.hashes.pop(name), now)

    def find_conflicting(self, upstream: Upstream) -> set[UpstreamId]:
        """Return the other upstreams that claim one of the endpoints of an upstream."""
        claimants: set[UpstreamId] = set()
        for endpoint in claimed_endpoints(upstream):
            claimants |= self.claimants.get(endpoint, set())
        return claimants - {upstream.upstream}

    def digest(self, data_centre: DataCentreId) -> int:
        """Return the digest of the records of a data centre without the removed upstreams."""
        return self.digests.get(data_centre, 0)

    def had_digest_recently(self, data_centre: DataCentreId, digest: int, now: Instant) -> bool:
        """Return whether the records of a data centre have this digest or had it recently.

        A peer with an earlier digest is behind, so no record is missing here. The period is short
        because a removal can restore an earlier digest.
        """
        if digest == self.digest(data_centre):
            return True
        recent = self.digest_history.get(data_centre, ())
        return any(digest == value and now <= until for value, until in recent)

    def upstreams_in(self, data_centre: DataCentreId) -> list[UpstreamId]:
        """Return the upstreams of a data centre, including removed upstreams."""
        return sorted(
            name for names in self.upstreams_by_bucket.get(data_centre, ()) for name in names
        )

    def bucket_digests(self, data_centre: DataCentreId) -> tuple[int, ...]:
        """Return the digests of the buckets of a data centre."""
        self._ensure_buckets(data_centre)
        return tuple(self.digests_by_bucket[data_centre])

    def records_in_bucket(self, data_centre: DataCentreId, number: int) -> list[DirectoryRecord]:
        """Return the records of one bucket, including those of removed upstreams."""
        self._ensure_buckets(data_centre)
        return [
            self.records[name] for name in sorted(self.upstreams_by_bucket[data_centre][number])
        ]

    def _ensure_buckets(self, data_centre: DataCentreId) -> None:
        if data_centre not in self.digests_by_bucket:
            self.digests_by_bucket[data_centre] = [0] * self.bucket_count
            self.upstreams_by_bucket[data_centre] = [set() for _ in range(self.bucket_count)]
            self.digest_history[data_centre] = deque(maxlen=DIGEST_HISTORY_LENGTH)

    def _bucket_of(self, name: UpstreamId) -> int:
        return hash64(name.encode()) % self.bucket_count

    def _toggle_hash(
        self, data_centre: DataCentreId, number: int, value: int, now: Instant
    ) -> None:
        before = self.digests.get(data_centre, 0)
        until = Instant(now + DIGEST_HISTORY_SECONDS)
        self.digest_history[data_centre].append((before, until))
        self.digests[data_centre] = before ^ value
        self.digests_by_bucket[data_centre][number] ^= value
