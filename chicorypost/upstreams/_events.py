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
DIRECTORY_UNVOUCHED = define_event(
    503,
    "directory-unvouched",
    Level.WARNING,
    "No relay vouches for the upstreams of a data centre: they get no new work.",
    "data_centre",
)
DIRECTORY_VOUCHED = define_event(
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
