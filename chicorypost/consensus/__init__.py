"""Replicated log: storage, leader election, replication and snapshots.

A driver passes events to a `Replica`, sends its messages, carries out its `Persist` effects with a
`ReplicaStorage` and applies committed commands to the application.
"""

from chicorypost.consensus._interface import (
    AddLearner,
    Apply,
    ChangeMembership,
    ContactsChanged,
    DamageKind,
    MembershipChange,
    Persist,
    Persisted,
    PromoteLearner,
    ProposalAccepted,
    ProposalRefusalReason,
    ProposalRefused,
    Propose,
    Read,
    ReadReady,
    ReadRefused,
    RecoveredState,
    RemoveMember,
    ReplicaRole,
    RestoreSnapshot,
    SnapshotTaken,
    StorageDamage,
    TakeSnapshot,
)
from chicorypost.consensus._membership_repair import MembershipRepairSettings
from chicorypost.consensus._message_checks import find_message_fault
from chicorypost.consensus._records import (
    ClusterMembership,
    Entry,
    EntryKind,
    HardState,
    MemberId,
    Snapshot,
)
from chicorypost.consensus._replica import Replica
from chicorypost.consensus._settings import ReplicaSettings
from chicorypost.consensus._storage import ReplicaStorage

__all__ = [
    "AddLearner",
    "Apply",
    "ChangeMembership",
    "ClusterMembership",
    "ContactsChanged",
    "DamageKind",
    "Entry",
    "EntryKind",
    "HardState",
    "MemberId",
    "MembershipChange",
    "MembershipRepairSettings",
    "Persist",
    "Persisted",
    "PromoteLearner",
    "ProposalAccepted",
    "ProposalRefusalReason",
    "ProposalRefused",
    "Propose",
    "Read",
    "ReadReady",
    "ReadRefused",
    "RecoveredState",
    "RemoveMember",
    "Replica",
    "ReplicaRole",
    "ReplicaSettings",
    "ReplicaStorage",
    "RestoreSnapshot",
    "Snapshot",
    "SnapshotTaken",
    "StorageDamage",
    "TakeSnapshot",
    "find_message_fault",
]
