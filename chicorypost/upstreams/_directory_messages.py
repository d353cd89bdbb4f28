"""Messages that replicate announcements between balancers."""

from chicorypost.base import DataCentreId, InstanceId, Message, Record, Upstream


class DirectoryRecord(Record, frozen=True, array_like=True):
    """State of one upstream at one revision."""

    upstream: Upstream
    revision: int
    warm_up_stage: int
    is_removed: bool


class DigestEntry(Record, frozen=True, array_like=True):
    """Digest of the records of one data centre, and for how long the sender confirms them."""

    data_centre: DataCentreId
    digest: int
    confirmed_ms: int


class AnnouncementForwarded(Message, frozen=True, array_like=True, tag=500):
    """Announcement forwarded to the balancer that registers the upstream."""

    upstream: Upstream
    valid_ms: int


class DirectoryReport(Message, frozen=True, array_like=True, tag=501):
    """Changed records reported to a relay; relays of other data centres include their digest."""

    digests: tuple[DigestEntry, ...]
    records: tuple[DirectoryRecord, ...]


class DirectoryUpdate(Message, frozen=True, array_like=True, tag=502):
    """Changed records and digests of a relay, forwarded along the tree rooted at it."""

    root: InstanceId
    digests: tuple[DigestEntry, ...]
    records: tuple[DirectoryRecord, ...]


class DirectorySyncRequest(Message, frozen=True, array_like=True, tag=503):
    """Request to a relay for the records of the buckets whose digests differ."""

    data_centre: DataCentreId
    bucket_digests: tuple[int, ...]


class DirectoryRepair(Message, frozen=True, array_like=True, tag=504):
    """Records of the buckets whose digests differed, with the numbers of these buckets."""

    data_centre: DataCentreId
    bucket_numbers: tuple[int, ...]
    records: tuple[DirectoryRecord, ...]
