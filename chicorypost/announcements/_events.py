"""Log events of the feed of announcements and configurations."""

from chicorypost.events import Level, define_event

ROUTING_CHANGE_UNUSABLE = define_event(
    800,
    "routing-change-unusable",
    Level.WARNING,
    "A change of the configuration doesn't fit the one in force; the whole one is requested.",
    "peer",
    "held",
    "base",
    "version",
)
