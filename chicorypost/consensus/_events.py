"""Log events of the replicated log."""

from chicorypost.events import Level, define_event

CLUSTER_BOOTSTRAPPED = define_event(
    100, "cluster-founded", Level.INFO, "A new cluster was bootstrapped.", "cluster", "voters"
)
ROLE_CHANGED = define_event(
    101,
    "replica-role-changed",
    Level.INFO,
    "The role or the leader of the replica changed.",
    "role",
    "term",
    "leader",
)
LEADER_CONTACT_LOST = define_event(
    102,
    "replica-out-of-touch",
    Level.WARNING,
    "No contact with a leader, or as leader with a quorum; reads and proposals are refused.",
    "term",
)
LEADER_CONTACT_RESTORED = define_event(
    103, "replica-in-touch", Level.INFO, "The replica has leader contact again.", "leader"
)
MEMBER_CONTACT_LOST = define_event(
    104, "member-silent", Level.WARNING, "The leader has lost contact with a member.", "member"
)
MEMBER_CONTACT_RESTORED = define_event(
    105, "member-heard", Level.INFO, "The leader has contact with a silent member again.", "member"
)
MEMBER_WAITING = define_event(
    106,
    "member-waiting",
    Level.WARNING,
    "An instance whose data folder is not in the membership waits to be added.",
    "member",
    "generation",
)
MEMBERSHIP_CHANGED = define_event(
    107,
    "membership-changed",
    Level.INFO,
    "A membership change was committed.",
    "index",
    "voters",
    "learners",
)
SNAPSHOT_STORED = define_event(
    108, "snapshot-stored", Level.INFO, "A snapshot replaces older log entries.", "index", "bytes"
)
SNAPSHOT_TOO_LARGE = define_event(
    109,
    "snapshot-too-large",
    Level.ERROR,
    "The application's state exceeds the allowed size; the log keeps growing.",
    "index",
    "bytes",
)
