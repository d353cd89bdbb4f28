"""Numbered log events of membership."""

from chicorypost.events import Level, define_event

LEASE_GAINED = define_event(
    300, "lease-gained", Level.INFO, "This instance may act in a view.", "epoch", "members"
)
LEASE_LOST = define_event(
    301, "lease-lost", Level.WARNING, "This instance may not act until it has a lease.", "epoch"
)
VIEW_PROPOSED = define_event(
    302,
    "view-proposed",
    Level.INFO,
    "A grantor proposed a view change.",
    "epoch",
    "joined",
    "left",
)
VIEW_COMMITTED = define_event(
    303,
    "view-committed",
    Level.INFO,
    "The epochs before a view are fenced off.",
    "epoch",
    "members",
)
FORMATION_STARTED = define_event(
    304,
    "formation-started",
    Level.WARNING,
    "No grantors answer: a view is formed anew by a majority of the configured instances.",
    "epoch",
)
FORMATION_DONE = define_event(
    305, "formation-done", Level.INFO, "A view was formed anew.", "epoch", "members"
)
LEFT_VIEW = define_event(
    306, "left-view", Level.INFO, "This instance gave its lease back and leaves.", "epoch"
)
