"""Log events of connections."""

from chicorypost.events import Level, define_event

PEER_CONNECTED = define_event(
    700, "peer-connected", Level.INFO, "A connection to another instance is open.", "peer"
)
PEER_LOST = define_event(
    701,
    "peer-lost",
    Level.WARNING,
    "A connection to another instance ended or went silent; it is opened again.",
    "peer",
    "reason",
)
FRAME_REFUSED = define_event(
    702,
    "frame-refused",
    Level.WARNING,
    "Bytes on a connection between instances were refused and the connection closed.",
    "peer",
    "reason",
)
QUEUE_FULL = define_event(
    703,
    "peer-queue-full",
    Level.WARNING,
    "Messages to an instance are dropped because its queue is full.",
    "peer",
)
HTTP_REFUSED = define_event(
    704,
    "http-refused",
    Level.INFO,
    "A malformed, oversized or slow HTTP request was refused.",
    "listener",
    "reason",
)
CERTIFICATE_RELOADED = define_event(
    705,
    "certificate-reloaded",
    Level.INFO,
    "Changed certificate files are used for new connections.",
    "certificate",
)
CERTIFICATE_UNUSABLE = define_event(
    706,
    "certificate-unusable",
    Level.ERROR,
    "Changed certificate files cannot be loaded; the earlier ones stay in use.",
    "certificate",
    "reason",
)
CONNECTIONS_FULL = define_event(
    707,
    "connections-full",
    Level.WARNING,
    "A listener closed a new connection because it holds as many as it may.",
    "listener",
)
