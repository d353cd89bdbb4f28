"""Log events of flow routing."""

from chicorypost.events import Level, define_event

DOMAIN_ADOPTED = define_event(
    400,
    "flow-domain-adopted",
    Level.INFO,
    "The set of balancers that must confirm slot moves changed.",
    "domain",
    "members",
    "data_centres",
)
SLOTS_MOVING = define_event(
    401,
    "slots-moving",
    Level.INFO,
    "New flows of some slots go to other upstreams as of this table version.",
    "service",
    "version",
    "slots",
)
SLOTS_SETTLED = define_event(
    402,
    "slots-settled",
    Level.INFO,
    "Slot moves ended, or the default upstream of moving slots changed.",
    "service",
    "version",
    "slots",
)
REGISTER_LOST = define_event(
    403,
    "flow-register-lost",
    Level.ERROR,
    "Owner and backup of moving slots are gone; unregistered flows go to the default upstream.",
    "service",
    "slots",
)
LEASE_LAPSED = define_event(
    404,
    "flow-lease-lapsed",
    Level.WARNING,
    "The lease expired before it was renewed; slot tables are fetched again.",
    "services",
)
TABLES_MERGED = define_event(
    405,
    "slot-tables-merged",
    Level.INFO,
    "Members of a new domain reported different slot tables, which were merged.",
    "service",
    "version",
    "slots",
)
