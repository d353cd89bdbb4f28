"""Log events of the feed of announcements and configurations."""

from chicorypost.events import Level, define_event

UPSTREAM_ENTRY_IGNORED = define_event(
    810,
    "upstream-entry-ignored",
    Level.ERROR,
    "An upstream in the table of a peer or on disk has an impossible field; it is ignored.",
    "upstream",
    "source",
    "field",
)
EVACUATIONS_IGNORED = define_event(
    811,
    "evacuations-ignored",
    Level.ERROR,
    "A control instance sent evacuated data centres with an impossible field; they are ignored.",
    "peer",
    "field",
)
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
