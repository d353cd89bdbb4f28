"""Settings of the replicated log."""

from pydantic import Field

from chicorypost.base import InstanceId, Settings

KIBIBYTE = 1024


class ReplicaSettings(Settings):
    """Settings of one replica.

    `founding_members` must be equal on all of them. Only the first start of a cluster uses it as
    the membership; later it names whom a replica without a cluster asks.
    """

    founding_members: tuple[InstanceId, ...] = ()
    heartbeat_seconds: float = Field(default=0.25, gt=0)
    election_seconds: float = Field(default=1.5, gt=0)
    silent_seconds: float = Field(default=5.0, gt=0)
    max_proposals_in_flight: int = Field(default=256, ge=1)
    max_reads_in_flight: int = Field(default=1024, ge=1)
    max_command_bytes: int = Field(default=512 * KIBIBYTE, ge=1)
    max_append_bytes: int = Field(default=256 * KIBIBYTE, ge=1)
    max_snapshot_bytes: int = Field(default=64 * KIBIBYTE * KIBIBYTE, ge=1)
    snapshot_chunk_bytes: int = Field(default=128 * KIBIBYTE, ge=1, le=2 * KIBIBYTE * KIBIBYTE)
    snapshot_interval_records: int = Field(default=1000, ge=1)
    trailing_records: int = Field(default=200, ge=0)
