"""Messages that spread announcements between balancers."""

from chicorypost.base import DataCentreId, InstanceId, Message, Record, Upstream


class DirectoryRecord(Record, frozen=True, array_like=True):
    """What is known of one upstream at one revision."""

    upstream: Upstream
    revision: int
    warm_up_stage: int
    is_removed: bool


class DigestEntry(Record, frozen=True, array_like=True):
    """Digest of the records of one data centre and how long the sender vouches for them."""

    data_centre: DataCentreId
    digest: int
    confirmed_ms: int


class AnnouncementForwarded(Message, frozen=True, array_like=True, tag=500):
    """Pass an announcement on to the keeper of the upstream."""

    upstream: Upstream
    valid_ms: int


class DirectoryReport(Message, frozen=True, array_like=True, tag=501):
    """Tell a relay of changed records; a relay of another data centre adds its digest."""

    digests: tuple[DigestEntry, ...]
    records: tuple[DirectoryRecord, ...]


class DirectoryUpdate(Message, frozen=True, array_like=True, tag=502):
    """Changes and digests from a relay, passed on along the tree that starts at it."""

    root: InstanceId
    digests: tuple[DigestEntry, ...]
    records: tuple[DirectoryRecord, ...]


class DirectorySyncRequest(Message, frozen=True, array_like=True, tag=503):
    """Ask a relay for the records of the buckets that differ from these digests."""

    data_centre: DataCentreId
    bucket_digests: tuple[int, ...]


class DirectoryRepair(Message, frozen=True, array_like=True, tag=504):
    """Records of the buckets that differed, and which buckets these were."""

    data_centre: DataCentreId
    bucket_numbers: tuple[int, ...]
    records: tuple[DirectoryRecord, ...]
