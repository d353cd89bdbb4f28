"""Log events of requests."""

from chicorypost.events import Level, define_event

ANSWER_DROPPED = define_event(
    600,
    "request-answer-dropped",
    Level.WARNING,
    "A reply matched no pending attempt: it was late, a duplicate or for another attempt.",
    "attempt",
    "sender",
)
OUTCOME_UNKNOWN = define_event(
    601,
    "request-outcome-unknown",
    Level.WARNING,
    "A caller received outcome-unknown: its request may have run.",
    "service",
    "reason",
)
RECORDS_LOST = define_event(
    602,
    "request-records-lost",
    Level.ERROR,
    "Owner and backup of a partition were lost: keys without a record get outcome-unknown.",
    "partition",
    "epoch",
)
TABLE_FULL = define_event(
    603,
    "request-table-full",
    Level.ERROR,
    "A request was refused because the record table is full.",
    "service",
    "records",
)
ATTEMPT_REFUSED = define_event(
    604,
    "request-attempt-refused",
    Level.INFO,
    "A runner refused an attempt that arrived late or is excluded.",
    "attempt",
    "sender",
)
RETRY_REFUSED = define_event(
    605,
    "request-retry-refused",
    Level.INFO,
    "A failed attempt was not retried because the retry budget is exhausted.",
    "service",
)
KEY_REUSED = define_event(
    606,
    "request-key-reused",
    Level.WARNING,
    "A key was reused for a different request.",
    "service",
)
RETRIED = define_event(
    607, "request-retried", Level.DEBUG, "A request was retried at another upstream.", "service"
)
