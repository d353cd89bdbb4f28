"""Checks of table entries whose types are right and whose values no upstream can have."""

import socket
from collections.abc import Iterable

from chicorypost.announcements import _events
from chicorypost.announcements._records import ListedUpstream
from chicorypost.base import Effect, Endpoint


def select_usable(
    listed: Iterable[ListedUpstream], source: str
) -> tuple[list[ListedUpstream], list[Effect]]:
    """Separate the entries of a table that can be used from those that can't.

    Parameters
    ----------
    listed : iterable of ListedUpstream
        Entries from another instance or from disk.
    source : str
        Where they are from, for log events.

    Returns
    -------
    tuple of list of ListedUpstream and list of Effect
        The usable entries, in order, and a log event for each other one.
    """
    usable, events = [], []
    for item in listed:
        field = find_impossible_field(item)
        if field is None:
            usable.append(item)
            continue
        name = f"{item.announcement.upstream:.60}"
        ignored = _events.UPSTREAM_ENTRY_IGNORED.emit(upstream=name, source=source, field=field)
        events.append(ignored)
    return usable, list[Effect](events)


def find_impossible_field(item: ListedUpstream) -> str | None:
    """Return the field of an entry whose value no upstream can have, or None if there is none."""
    announcement = item.announcement
    checks = {
        "endpoint": _is_usable_endpoint(announcement.endpoint),
        "token": 0 < announcement.token < 2**64,
        "slots": announcement.slots > 0,
        "started_at_ms": announcement.started_at_ms >= 0,
        "sequence": announcement.sequence >= 0,
        "warmup_ms": announcement.warmup_ms >= 0,
        "age_ms": item.age_ms >= 0,
    }
    return next((name for name, is_possible in checks.items() if not is_possible), None)


def _is_usable_endpoint(endpoint: Endpoint) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, endpoint.host)
    except (OSError, ValueError):
        return False
    return 0 < endpoint.port < 65_536
