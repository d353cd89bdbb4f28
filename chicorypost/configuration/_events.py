"""Log events of the configuration package."""

from chicorypost.events import Level, define_event

CONFIGURATION_IN_FORCE = define_event(
    200,
    "configuration-in-force",
    Level.INFO,
    "This balancer applies a newer configuration.",
    "version",
    "sender",
)
CONFIGURATION_DAMAGED = define_event(
    201,
    "configuration-damaged",
    Level.ERROR,
    "The digest of a received configuration doesn't match; the full document is requested.",
    "version",
    "sender",
)
CONFIGURATION_INVALID = define_event(
    202,
    "configuration-not-understood",
    Level.ERROR,
    "A received configuration is invalid in this release; the balancer keeps the current one.",
    "version",
    "detail",
)
SERVING_STARTED = define_event(
    203,
    "serving-started",
    Level.INFO,
    "The configuration of this balancer is current; it serves while its lease is valid.",
    "version",
    "source",
)
SERVING_STOPPED = define_event(
    204,
    "serving-stopped",
    Level.WARNING,
    "This balancer lost its lease or left the view; it serves again with a current configuration.",
    "version",
)
OLDER_CONFIGURATION_IGNORED = define_event(
    205,
    "configuration-reversed",
    Level.DEBUG,
    "An instance sent an older configuration than the one applied here; it was ignored.",
    "version",
    "offered",
    "sender",
)
DATA_CENTRE_SILENT = define_event(
    206,
    "data-centre-silent",
    Level.WARNING,
    "No relay of the data centre has reported within the allowed time.",
    "data_centre",
    "silent_seconds",
)
DATA_CENTRE_REPORTING = define_event(
    207,
    "data-centre-heard",
    Level.INFO,
    "A relay of the data centre reports for the first time or after a silence.",
    "data_centre",
    "relay",
    "version",
)
RELEASE_CLEARED = define_event(
    208,
    "release-cleared",
    Level.INFO,
    "Every live balancer has confirmed a version; what it released can be reassigned.",
    "version",
)
