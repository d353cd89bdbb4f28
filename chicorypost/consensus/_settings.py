"""Settings of the replicated log."""

from dataclasses import dataclass
from typing import Annotated

from chicorypost.base import Bound, InstanceId

KIBIBYTE = 1024


@dataclass(frozen=True)
class ReplicaSettings:
    """Settings of one replica.

    `founding_members` must be equal on all replicas. They are the initial membership when a cluster
    is bootstrapped; later, a replica that isn't a member sends its hello messages to them. It sends
    them to `contacts` too, which never become part of the initial membership. A process that reads
    its settings from a file checks the bounds with pydantic, which supports data classes.

    `first_election_seconds` replaces `election_seconds` in a process that has not had a leader yet,
    and is the interval of its hello messages before there is a cluster. It may be shorter: members
    that have a leader ignore the pre-vote, and a cluster that is new or has lost power as a whole
    elects a leader sooner.
    """

    __pydantic_config__ = {"extra": "forbid"}

    founding_members: tuple[InstanceId, ...] = ()
    contacts: tuple[InstanceId, ...] = ()
    heartbeat_seconds: Annotated[float, Bound(gt=0)] = 0.25
    election_seconds: Annotated[float, Bound(gt=0)] = 1.5
    first_election_seconds: Annotated[float, Bound(gt=0)] = 0.5
    silent_seconds: Annotated[float, Bound(gt=0)] = 5.0
    max_proposals_in_flight: Annotated[int, Bound(ge=1)] = 256
    max_reads_in_flight: Annotated[int, Bound(ge=1)] = 1024
    max_command_bytes: Annotated[int, Bound(ge=1)] = 512 * KIBIBYTE
    max_append_bytes: Annotated[int, Bound(ge=1)] = 256 * KIBIBYTE
    max_snapshot_bytes: Annotated[int, Bound(ge=1)] = 64 * KIBIBYTE * KIBIBYTE
    snapshot_chunk_bytes: Annotated[int, Bound(ge=1, le=2 * KIBIBYTE * KIBIBYTE)] = 128 * KIBIBYTE
    snapshot_interval_records: Annotated[int, Bound(ge=1)] = 1000
    trailing_records: Annotated[int, Bound(ge=0)] = 200
