"""Log events of the replicated log."""

from chicorypost.events import Level, define_event

CLUSTER_BOOTSTRAPPED = define_event(
    100, "cluster-founded", Level.INFO, "A new cluster was founded.", "cluster", "voters"
)
ROLE_CHANGED = define_event(
    101, "replica-role-changed", Level.INFO, "The replica has a new role.", "role", "term", "leader"
)
LEADER_CONTACT_LOST = define_event(
    102,
    "replica-out-of-touch",
    Level.WARNING,
    "The replica hears no leader, or as leader no quorum, and refuses to be current.",
    "term",
)
LEADER_CONTACT_RESTORED = define_event(
    103, "replica-in-touch", Level.INFO, "The replica hears a leader again.", "leader"
)
MEMBER_CONTACT_LOST = define_event(
    104, "member-silent", Level.WARNING, "The leader no longer hears a member.", "member"
)
MEMBER_CONTACT_RESTORED = define_event(
    105, "member-heard", Level.INFO, "The leader hears a silent member again.", "member"
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
    "A membership change is committed.",
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
