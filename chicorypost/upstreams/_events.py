"""Log events of announcements, dispatch and ejection."""

from chicorypost.events import Level, define_event

ANNOUNCEMENT_REFUSED = define_event(
    500,
    "announcement-refused",
    Level.WARNING,
    "An announcement was refused because it contradicts one of the same or a newer incarnation.",
    "upstream",
    "incarnation",
    "reason",
)
ENDPOINT_CONFLICT = define_event(
    501,
    "endpoint-conflict",
    Level.WARNING,
    "Two upstreams claim the same endpoint; neither receives work until one of them is removed.",
    "upstream",
    "other",
    "endpoint",
)
UPSTREAM_EXPIRED = define_event(
    502,
    "upstream-expired",
    Level.WARNING,
    "The validity of an announcement ended without a renewal.",
    "upstream",
    "incarnation",
)
DIRECTORY_UNCONFIRMED = define_event(
    503,
    "directory-unvouched",
    Level.WARNING,
    "No relay confirms the upstreams of a data centre; they receive no new work.",
    "data_centre",
)
DIRECTORY_CONFIRMED = define_event(
    504,
    "directory-vouched",
    Level.INFO,
    "A relay confirms the upstreams of a data centre again.",
    "data_centre",
)
DIRECTORY_REPAIRED = define_event(
    505,
    "directory-repaired",
    Level.INFO,
    "Records that differed from the directory of a relay were fetched.",
    "data_centre",
    "records",
)

EXCHANGE_END_DROPPED = define_event(
    510,
    "exchange-end-dropped",
    Level.WARNING,
    "The end of an exchange that is no longer running was ignored: late or reported twice.",
    "attempt",
)
ATTEMPT_REPEATED = define_event(
    511,
    "attempt-repeated",
    Level.WARNING,
    "A duplicate of an attempt arrived and was not run.",
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
    "This balancer became dispatcher of an upstream and waits for earlier exchanges to end.",
    "upstream",
    "seconds",
)
UPSTREAM_EJECTED = define_event(
    520,
    "upstream-ejected",
    Level.WARNING,
    "Consecutive requests to an upstream failed; it is ejected temporarily.",
    "upstream",
    "seconds",
)
UPSTREAM_READMITTED = define_event(
    521,
    "upstream-readmitted",
    Level.INFO,
    "An ejected upstream responded successfully often enough to regain its full weight.",
    "upstream",
)
