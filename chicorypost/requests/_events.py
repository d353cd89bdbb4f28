"""Log events of requests."""

from chicorypost.events import Level, define_event

ANSWER_DROPPED = define_event(
    600,
    "request-answer-dropped",
    Level.WARNING,
    "An answer matched no attempt that waits for one: it came late, twice or for another attempt.",
    "attempt",
    "sender",
)
OUTCOME_UNKNOWN = define_event(
    601,
    "request-outcome-unknown",
    Level.WARNING,
    "A caller was told that its request may have run.",
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
    "A request was refused because the record table is at its bound.",
    "service",
    "records",
)
ATTEMPT_REFUSED = define_event(
    604,
    "request-attempt-refused",
    Level.INFO,
    "A runner refused an attempt that came late or has been barred.",
    "attempt",
    "sender",
)
RETRY_REFUSED = define_event(
    605,
    "request-retry-refused",
    Level.INFO,
    "A failed attempt was not retried because the retry budget is spent.",
    "service",
)
KEY_REUSED = define_event(
    606,
    "request-key-reused",
    Level.WARNING,
    "A key was sent with another request than before.",
    "service",
)
RETRIED = define_event(
    607, "request-retried", Level.DEBUG, "An attempt was repeated at another upstream.", "service"
)
