"""Log events of the cookie router."""

from chicorypost.events import Level, define_event

FLOW_OPENED = define_event(
    822,
    "flow-opened",
    Level.INFO,
    "The opening of a flow was forwarded to an upstream; copies counts its retransmissions.",
    "flow",
    "route",
    "upstream",
    "copies",
    "candidates",
    "load",
    "version",
)
FLOW_RESET = define_event(
    823,
    "flow-reset",
    Level.WARNING,
    "A flow was reset because it can't be served.",
    "flow",
    "route",
    "request",
    "reason",
    "candidates",
    "version",
)
REQUEST_FORWARDED = define_event(
    824,
    "request-forwarded",
    Level.INFO,
    "The first packet of a request was forwarded to the upstream of its flow.",
    "request",
    "flow",
    "upstream",
    "silent",
    "version",
)
PACKET_DROPPED = define_event(
    825,
    "packet-dropped",
    Level.WARNING,
    "A packet was dropped without notifying the client.",
    "flow",
    "request",
    "reason",
    "version",
)
UPSTREAM_SEEN = define_event(
    826,
    "upstream-seen",
    Level.INFO,
    "The state of an upstream, as seen by this balancer, has changed.",
    "upstream",
    "service",
    "standing",
    "data_centre",
    "silent",
    "born_ms",
    "sequence",
)
UPSTREAM_SUSPECTED = define_event(
    820,
    "upstream-suspected",
    Level.WARNING,
    "An upstream left the opening of a flow unanswered; new flows avoid it for a time.",
    "upstream",
)
UPSTREAM_TRUSTED = define_event(
    821, "upstream-trusted", Level.INFO, "A suspected upstream has answered again.", "upstream"
)
COOKIE_CONFLICT = define_event(
    827,
    "cookie-conflict",
    Level.WARNING,
    "An upstream gets no flows because one that started earlier has the same cookie.",
    "upstream",
)
SERVICE_COLD = define_event(
    840,
    "service-cold",
    Level.WARNING,
    "All upstreams of a service that accept flows are cold; this balancer limits its new flows.",
    "service",
    "cold_upstreams",
    "allowed",
    "balancers",
)
SERVICE_WARM = define_event(
    841,
    "service-warm",
    Level.INFO,
    "New flows of a service are no longer limited; opened and reset count those in the meantime.",
    "service",
    "opened",
    "reset",
)
UPSTREAM_SLOW = define_event(
    828,
    "upstream-slow",
    Level.INFO,
    "An upstream responds more slowly than the others of its service and gets fewer new flows.",
    "upstream",
    "slowness",
)
STALLED_FLOW_RESET = define_event(
    835,
    "stalled-flow-reset",
    Level.WARNING,
    "A flow was reset because its upstream is unresponsive; the client may send the request again.",
    "flow",
    "route",
    "upstream",
    "reason",
    "copies",
    "waiting_seconds",
    "version",
)
