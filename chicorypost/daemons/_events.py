"""Log events of the daemons."""

from chicorypost.events import Level, define_event

STARTED = define_event(
    1, "started", Level.INFO, "The process has started to serve.", "role", "version"
)
STOPPING = define_event(
    2,
    "stopping",
    Level.INFO,
    "A graceful stop has begun; it ends when all work is done or at its deadline.",
    "signal",
    "limit_seconds",
)
STOPPED = define_event(
    3,
    "stopped",
    Level.INFO,
    "The process ends; cut_requests counts interrupted requests.",
    "cut_requests",
    "graceful",
)
MESSAGE_UNEXPECTED = define_event(
    4,
    "message-unexpected",
    Level.WARNING,
    "An instance sent a message of a type that this process doesn't take; it was ignored.",
    "peer",
    "message",
)
PACKET_SOCKET_ERROR = define_event(
    5,
    "packet-socket-error",
    Level.WARNING,
    "The packet socket reported an error; forwarding continues.",
    "reason",
)
ANNOUNCEMENT_MALFORMED = define_event(
    6,
    "announcement-malformed",
    Level.WARNING,
    "An upstream sent an invalid announcement.",
    "reason",
)
LATE_RESPONSE_DROPPED = define_event(
    7,
    "late-answer-dropped",
    Level.INFO,
    "A response was dropped because it belongs to another attempt than the pending one.",
    "upstream",
    "attempt",
)
MESSAGE_REFUSED = define_event(
    10,
    "message-refused",
    Level.WARNING,
    "A member of the log sent a message that no replica would send; it was ignored.",
    "peer",
    "reason",
)
LOG_FAILED = define_event(
    9,
    "log-failed",
    Level.ERROR,
    "The log failed by its disk or by a defect; the process ends and recovers it at its start.",
    "reason",
)
