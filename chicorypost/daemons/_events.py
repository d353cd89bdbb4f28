"""Log events of the daemons."""

from chicorypost.events import Level, define_event

STARTED = define_event(1, "started", Level.INFO, "The process serves.", "role", "version")
STOPPING = define_event(
    2,
    "stopping",
    Level.INFO,
    "A graceful stop has begun; it ends by itself or at its deadline.",
    "signal",
    "limit_seconds",
)
STOPPED = define_event(
    3, "stopped", Level.INFO, "The process ends; what it cut is named.", "cut_requests", "graceful"
)
PACKET_SOCKET_ERROR = define_event(
    5,
    "packet-socket-error",
    Level.WARNING,
    "The packet socket reported an error; forwarding goes on.",
    "reason",
)
ANNOUNCEMENT_MALFORMED = define_event(
    6,
    "announcement-malformed",
    Level.WARNING,
    "An upstream sent an announcement that is not valid.",
    "reason",
)
LATE_RESPONSE_DROPPED = define_event(
    7,
    "late-answer-dropped",
    Level.INFO,
    "An answer did not belong to the attempt that was waiting and was dropped.",
    "upstream",
    "attempt",
)
