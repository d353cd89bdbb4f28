"""One replica of the replicated log, as a state machine without I/O."""

import random
from typing import Any

from chicorypost.base import Effect, Event, InstanceId, Instant, LogIndex, Term
from chicorypost.consensus._interface import RecoveredState, Role
from chicorypost.consensus._records import Membership
from chicorypost.consensus._settings import ReplicaSettings


class Replica:
    """One replica of the replicated log.

    Parameters
    ----------
    settings : ReplicaSettings
        Timeouts and bounds.
    identity : InstanceId
        This instance.
    recovered : RecoveredState
        What the disk held.
    random : random.Random
        Source of election timeouts and of the id of a new cluster.
    now : Instant
        Current time.

    Notes
    -----
    The first `handle` call restores the recovered snapshot and applies what is known to be
    committed; `next_deadline` is at once for that.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        identity: InstanceId,
        recovered: RecoveredState,
        random: random.Random,
        now: Instant,
    ) -> None:
        self.settings = settings
        self.identity = identity

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        raise NotImplementedError

    def next_deadline(self) -> Instant | None:
        """Return when the replica next wants a `Tick`."""
        raise NotImplementedError

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        raise NotImplementedError

    @property
    def role(self) -> Role:
        """What this replica currently is."""
        raise NotImplementedError

    @property
    def term(self) -> Term:
        """The current term."""
        raise NotImplementedError

    @property
    def leader(self) -> InstanceId | None:
        """The leader of the current term, if known."""
        raise NotImplementedError

    @property
    def commit_index(self) -> LogIndex:
        """Index of the last entry known to be committed."""
        raise NotImplementedError

    @property
    def applied_index(self) -> LogIndex:
        """Index of the last entry that was handed to the application."""
        raise NotImplementedError

    @property
    def members(self) -> Membership:
        """The membership in effect, which may not be committed yet."""
        raise NotImplementedError

    @property
    def last_contact(self) -> dict[InstanceId, Instant]:
        """When this replica last received a message from each peer."""
        raise NotImplementedError

    @property
    def out_of_touch_since(self) -> Instant | None:
        """Last contact with a leader (as leader: with a quorum) if that is too long ago."""
        raise NotImplementedError

    @property
    def silent_members(self) -> dict[InstanceId, Instant]:
        """Members that this leader doesn't hear, each with the time of its last message."""
        raise NotImplementedError

    @property
    def waiting_members(self) -> dict[InstanceId, str]:
        """Instances that wait to be added, each with the generation of its data folder."""
        raise NotImplementedError
