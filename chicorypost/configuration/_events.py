"""Numbered log events of configuration."""

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
    "A configuration from another instance doesn't have its digest; a whole one is asked for.",
    "version",
    "sender",
)
CONFIGURATION_INVALID = define_event(
    202,
    "configuration-not-understood",
    Level.ERROR,
    "A configuration breaks the rules of this release; the balancer keeps the earlier one.",
    "version",
    "detail",
)
SERVING_STARTED = define_event(
    203,
    "serving-started",
    Level.INFO,
    "This balancer knows a current configuration and may serve within its lease.",
    "version",
    "source",
)
SERVING_STOPPED = define_event(
    204,
    "serving-stopped",
    Level.WARNING,
    "The lease of this balancer ended; it serves again once its configuration is current.",
    "version",
)
OLDER_CONFIGURATION_IGNORED = define_event(
    205,
    "configuration-reversed",
    Level.DEBUG,
    "An instance offered an older configuration than the one in force here; it was ignored.",
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
    "A relay of the data centre reports again, or for the first time.",
    "data_centre",
    "relay",
    "version",
)
RELEASE_CLEARED = define_event(
    208,
    "release-cleared",
    Level.INFO,
    "Every live balancer has confirmed a version; what it released may be assigned.",
    "version",
)
