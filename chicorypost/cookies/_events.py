"""Log events of the cookie router."""

from chicorypost.events import Level, define_event

UPSTREAM_SUSPECTED = define_event(
    820,
    "upstream-suspected",
    Level.WARNING,
    "An upstream left the opening of a flow unanswered; new flows avoid it for a while.",
    "upstream",
)
UPSTREAM_TRUSTED = define_event(
    821, "upstream-trusted", Level.INFO, "A suspected upstream has answered.", "upstream"
)
