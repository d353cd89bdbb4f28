"""Log events of the roles on the platform."""

from chicorypost.events import Level, define_event

SETTINGS_CHANGED = define_event(
    40, "settings-changed", Level.INFO, "The settings file has changed and was read again.", "seeds"
)
SETTINGS_REFUSED = define_event(
    41,
    "settings-refused",
    Level.ERROR,
    "The settings file is invalid; the previous settings stay in force.",
    "reason",
)
SEEDS_IGNORED = define_event(
    57,
    "seeds-ignored",
    Level.ERROR,
    "Entries of `seeds` in the settings file are no addresses; the others are in use.",
    "seeds",
)
READY = define_event(
    42,
    "ready",
    Level.INFO,
    "The balancer can serve and reports readiness to the fabric.",
    "version",
)
ROUTING_APPLIED = define_event(
    43,
    "routing-applied",
    Level.INFO,
    "A newer configuration is in force on this instance.",
    "version",
)
UPSTREAM_CALL_REFUSED = define_event(
    44,
    "upstream-call-refused",
    Level.WARNING,
    "A call of an upstream is invalid and was rejected; its recorded state is unchanged.",
    "upstream",
    "reason",
)
CONFIGURATION_REFUSED = define_event(
    45,
    "configuration-refused",
    Level.WARNING,
    "An operator sent an invalid configuration; it was rejected.",
    "reason",
)
CONFIGURATION_ACCEPTED = define_event(
    46,
    "configuration-accepted",
    Level.INFO,
    "A configuration, or a higher version, is stored on a quorum.",
    "version",
)
DISK_FAILED = define_event(
    47,
    "disk-failed",
    Level.ERROR,
    "A disk operation failed; this instance doesn't vote until the disk works again.",
    "reason",
)
DISK_RECOVERED = define_event(
    48,
    "disk-works",
    Level.INFO,
    "The data folder was recovered and the replica is running.",
    "generation",
)
REPLICA_FAILED = define_event(
    55,
    "replica-failed",
    Level.ERROR,
    "A defect or a broken invariant stopped the replica; it restarts from its data folder.",
    "reason",
)
ROUTING_UNREADABLE = define_event(
    56,
    "routing-unreadable",
    Level.ERROR,
    "This build can't read the newest configuration of the log; the previous one stays in force.",
    "version",
    "reason",
)
EVACUATION_ACCEPTED = define_event(
    58,
    "evacuation-accepted",
    Level.WARNING,
    "An operator's order to start or end an evacuation is stored on a quorum.",
    "data_centre",
    "evacuated",
)
EVACUATION_REFUSED = define_event(
    59,
    "evacuation-refused",
    Level.WARNING,
    "An operator's order to start or end an evacuation is invalid; it was rejected.",
    "reason",
)
EVACUATIONS_APPLIED = define_event(
    60,
    "evacuations-applied",
    Level.WARNING,
    "The evacuated data centres have changed on this instance; they get no new flows.",
    "revision",
    "data_centres",
)
EVACUATIONS_UNREADABLE = define_event(
    61,
    "evacuations-unreadable",
    Level.ERROR,
    "This build can't read an order about an evacuation in the log, or its state in a snapshot.",
    "reason",
)
MEMBERSHIP_REPAIR = define_event(
    49,
    "membership-repair",
    Level.WARNING,
    "The leader proposes a membership change to repair the cluster.",
    "change",
)
ADMIN_NOT_LISTENING = define_event(
    52,
    "admin-not-listening",
    Level.WARNING,
    "The admin listener could not be opened; this process serves no metrics and dumps.",
    "port",
    "reason",
)
ANNOUNCEMENTS_NOT_SAVED = define_event(
    51,
    "announcements-not-saved",
    Level.WARNING,
    "The announcement table was not saved or loaded; upstreams announce themselves again.",
    "reason",
)
PACKET_SOCKET_FAILED = define_event(
    50,
    "packet-send-failed",
    Level.WARNING,
    "A packet could not be received or sent; the client retransmits it.",
    "reason",
)
LINK_FULL = define_event(
    53,
    "link-full",
    Level.WARNING,
    "A packet was dropped because the queue for the link of this machine is full.",
    "waiting_seconds",
    "flows",
)
NOT_READY = define_event(
    54,
    "not-ready",
    Level.WARNING,
    "The balancer reports to the fabric that it should not receive packets.",
    "reason",
)
