"""Settings of the replicated log."""

from dataclasses import dataclass
from typing import Annotated

from chicorypost.base import Bound, InstanceId

KIBIBYTE = 1024


@dataclass(frozen=True)
class ReplicaSettings:
    """Settings of one replica.

    `founding_members` must be equal on all of them. Only the first start of a cluster uses it as
    the membership; later it names whom a replica without a cluster asks. `contacts` are asked as
    well, but never found a cluster. A process that reads its settings from a file checks bounds
    with pydantic, which knows data classes.

    `first_election_seconds` holds from the start of the process until a leader is heard. It may be
    shorter than `election_seconds`: a cluster with a leader ignores the question, and one that has
    lost power as a whole is back sooner.
    """

    __pydantic_config__ = {"extra": "forbid"}

    founding_members: tuple[InstanceId, ...] = ()
    contacts: tuple[InstanceId, ...] = ()
    heartbeat_seconds: Annotated[float, Bound(gt=0)] = 0.25
    election_seconds: Annotated[float, Bound(gt=0)] = 1.5
    first_election_seconds: Annotated[float, Bound(gt=0)] = 1.5
    silent_seconds: Annotated[float, Bound(gt=0)] = 5.0
    max_proposals_in_flight: Annotated[int, Bound(ge=1)] = 256
    max_reads_in_flight: Annotated[int, Bound(ge=1)] = 1024
    max_command_bytes: Annotated[int, Bound(ge=1)] = 512 * KIBIBYTE
    max_append_bytes: Annotated[int, Bound(ge=1)] = 256 * KIBIBYTE
    max_snapshot_bytes: Annotated[int, Bound(ge=1)] = 64 * KIBIBYTE * KIBIBYTE
    snapshot_chunk_bytes: Annotated[int, Bound(ge=1, le=2 * KIBIBYTE * KIBIBYTE)] = 128 * KIBIBYTE
    snapshot_interval_records: Annotated[int, Bound(ge=1)] = 1000
    trailing_records: Annotated[int, Bound(ge=0)] = 200
