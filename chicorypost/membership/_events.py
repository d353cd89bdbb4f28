"""Numbered log events of leases and membership views."""

from chicorypost.events import Level, define_event

LEASE_GAINED = define_event(
    300,
    "lease-gained",
    Level.INFO,
    "This instance holds a lease in a view and may act.",
    "epoch",
    "members",
)
LEASE_LOST = define_event(
    301,
    "lease-lost",
    Level.WARNING,
    "The lease of this instance expired; it does not act until it has a new one.",
    "epoch",
)
VIEW_PROPOSED = define_event(
    302,
    "view-proposed",
    Level.INFO,
    "This grantor proposed a view change.",
    "epoch",
    "joined",
    "left",
)
VIEW_COMMITTED = define_event(
    303,
    "view-committed",
    Level.INFO,
    "A view was committed: all earlier epochs are fenced.",
    "epoch",
    "members",
)
FORMATION_STARTED = define_event(
    304,
    "formation-started",
    Level.WARNING,
    "No grantor responds: this instance starts the formation of a view by a majority of the "
    "configured instances.",
    "epoch",
)
FORMATION_DONE = define_event(
    305,
    "formation-done",
    Level.INFO,
    "A majority of the configured instances formed a view.",
    "epoch",
    "members",
)
LEFT_VIEW = define_event(
    306, "left-view", Level.INFO, "This instance returned its lease and leaves the view.", "epoch"
)
