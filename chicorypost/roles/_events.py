"""Log events of the roles on the platform."""

from chicorypost.events import Level, define_event

SETTINGS_CHANGED = define_event(
    40, "settings-changed", Level.INFO, "The settings file was read again.", "seeds"
)
SETTINGS_REFUSED = define_event(
    41,
    "settings-refused",
    Level.ERROR,
    "The settings file can't be used; the earlier settings stay in force.",
    "reason",
)
READY = define_event(
    42, "ready", Level.INFO, "The balancer can serve and says so to the fabric.", "version"
)
ROUTING_APPLIED = define_event(
    43, "routing-applied", Level.INFO, "A newer configuration is in force here.", "version"
)
UPSTREAM_CALL_REFUSED = define_event(
    44,
    "upstream-call-refused",
    Level.WARNING,
    "A call of an upstream can't be used; what is known of it stays.",
    "upstream",
    "reason",
)
CONFIGURATION_REFUSED = define_event(
    45,
    "configuration-refused",
    Level.WARNING,
    "An operator sent a configuration that isn't valid.",
    "reason",
)
CONFIGURATION_ACCEPTED = define_event(
    46,
    "configuration-accepted",
    Level.INFO,
    "A configuration is stored on a quorum, or a higher version is.",
    "version",
)
DISK_FAILED = define_event(
    47,
    "disk-failed",
    Level.ERROR,
    "The disk refuses; this instance goes on without a vote until it works again.",
    "reason",
)
DISK_RECOVERED = define_event(
    48, "disk-works", Level.INFO, "The data folder was recovered; the replica runs.", "generation"
)
MEMBERSHIP_REPAIR = define_event(
    49, "membership-repair", Level.WARNING, "The leader changes the membership.", "change"
)
ADMIN_NOT_LISTENING = define_event(
    52,
    "admin-not-listening",
    Level.WARNING,
    "The admin listener could not be opened; metrics and dumps can't be had from this process.",
    "port",
    "reason",
)
ANNOUNCEMENTS_NOT_SAVED = define_event(
    51,
    "announcements-not-saved",
    Level.WARNING,
    "The table of announcements was not saved or loaded; upstreams announce themselves again.",
    "reason",
)
PACKET_SOCKET_FAILED = define_event(
    50,
    "packet-send-failed",
    Level.WARNING,
    "A packet could not be sent; the sender will send it again.",
    "reason",
)
LINK_FULL = define_event(
    53,
    "link-full",
    Level.WARNING,
    "A packet was dropped because more waits for the link of this machine than may.",
    "waiting_seconds",
    "flows",
)
NOT_READY = define_event(
    54,
    "not-ready",
    Level.WARNING,
    "The balancer asks the fabric to send packets elsewhere.",
    "reason",
)
