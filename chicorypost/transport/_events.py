"""Log events of connections."""

from chicorypost.events import Level, define_event

PEER_CONNECTED = define_event(
    700, "peer-connected", Level.INFO, "A connection to another instance was established.", "peer"
)
PEER_LOST = define_event(
    701,
    "peer-lost",
    Level.WARNING,
    "A connection to another instance was lost or timed out; it is reopened.",
    "peer",
    "reason",
)
FRAME_REFUSED = define_event(
    702,
    "frame-refused",
    Level.WARNING,
    "A connection between instances was closed because of invalid data or credentials.",
    "peer",
    "reason",
)
QUEUE_FULL = define_event(
    703,
    "peer-queue-full",
    Level.WARNING,
    "Messages to an instance are dropped because its send queue is full.",
    "peer",
)
HTTP_REFUSED = define_event(
    704,
    "http-refused",
    Level.INFO,
    "An HTTP request was rejected as malformed, too large, too slow or not authorised.",
    "listener",
    "reason",
)
CERTIFICATE_RELOADED = define_event(
    705,
    "certificate-reloaded",
    Level.INFO,
    "Changed certificate files were loaded; new connections use them.",
    "certificate",
)
CERTIFICATE_UNUSABLE = define_event(
    706,
    "certificate-unusable",
    Level.ERROR,
    "Changed certificate files can't be loaded; the previous ones stay in use.",
    "certificate",
    "reason",
)
UNEXPECTED_ERROR = define_event(
    708,
    "unexpected-error",
    Level.ERROR,
    "A defect ended the handling of one request, message or packet; the process goes on.",
    "where",
    "error",
)
CONNECTIONS_FULL = define_event(
    707,
    "connections-full",
    Level.WARNING,
    "A listener closed a new connection because its connection limit is reached.",
    "listener",
)
