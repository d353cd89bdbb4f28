"""Numbered log events of announcements, dispatch and ejection."""

from chicorypost.events import Level, define_event

ANNOUNCEMENT_REFUSED = define_event(
    500,
    "announcement-refused",
    Level.WARNING,
    "An announcement contradicts a newer or equal one and was not taken.",
    "upstream",
    "incarnation",
    "reason",
)
ENDPOINT_CONFLICT = define_event(
    501,
    "endpoint-conflict",
    Level.WARNING,
    "Two upstreams claim one endpoint: neither gets work until one of them is gone.",
    "upstream",
    "other",
    "endpoint",
)
UPSTREAM_EXPIRED = define_event(
    502,
    "upstream-expired",
    Level.WARNING,
    "The validity of an announcement ended and nothing renewed it.",
    "upstream",
    "incarnation",
)
DIRECTORY_UNCONFIRMED = define_event(
    503,
    "directory-unvouched",
    Level.WARNING,
    "No relay vouches for the upstreams of a data centre: they get no new work.",
    "data_centre",
)
DIRECTORY_CONFIRMED = define_event(
    504,
    "directory-vouched",
    Level.INFO,
    "A relay vouches for the upstreams of a data centre again.",
    "data_centre",
)
DIRECTORY_REPAIRED = define_event(
    505,
    "directory-repaired",
    Level.INFO,
    "The directory differed from the relay's and the difference was fetched.",
    "data_centre",
    "records",
)

EXCHANGE_END_DROPPED = define_event(
    510,
    "exchange-end-dropped",
    Level.WARNING,
    "An exchange ended that was not running any more: late or reported twice.",
    "attempt",
)
ATTEMPT_REPEATED = define_event(
    511,
    "attempt-repeated",
    Level.WARNING,
    "A copy of an attempt arrived and was not run again.",
    "attempt",
)
EXCHANGE_OVERDUE = define_event(
    512,
    "exchange-overdue",
    Level.WARNING,
    "An exchange did not end by its deadline; its outcome is unknown.",
    "attempt",
    "upstream",
)
DISPATCH_HELD = define_event(
    513,
    "dispatch-held",
    Level.INFO,
    "This balancer became the dispatcher of an upstream and waits for what may still run there.",
    "upstream",
    "seconds",
)
UPSTREAM_EJECTED = define_event(
    520,
    "upstream-ejected",
    Level.WARNING,
    "Requests to an upstream failed in a row: it gets none for a while.",
    "upstream",
    "seconds",
)
UPSTREAM_READMITTED = define_event(
    521,
    "upstream-readmitted",
    Level.INFO,
    "An ejected upstream answered well enough to be in full use again.",
    "upstream",
)
