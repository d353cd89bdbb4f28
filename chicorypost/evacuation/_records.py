"""The evacuated data centres as control instances send them to balancers."""

from typing import NewType

from chicorypost.base import DataCentreId, Record

Revision = NewType("Revision", int)
"""Number of orders that have taken effect or were refused for lack of room."""

NO_REVISION = Revision(0)
MAX_DATA_CENTRES = 256
"""Data centres whose state is kept; bounds the messages to balancers, since any name is accepted
where the settings don't list the data centres."""
MAX_NAME_CHARACTERS = 255
MAX_REVISION = 2**62
"""Far more orders than a cluster can take; a higher revision would hide all later orders."""


class Evacuations(Record, frozen=True, array_like=True):
    """All evacuated data centres after the orders up to a revision."""

    revision: Revision
    data_centres: tuple[DataCentreId, ...]


NO_EVACUATIONS = Evacuations(NO_REVISION, ())


def find_evacuations_fault(evacuations: Evacuations) -> str | None:
    """Return which field has a value that no control instance sends, or None if there is none."""
    if not 0 <= evacuations.revision <= MAX_REVISION:
        return "revision"
    names = evacuations.data_centres
    is_possible = len(names) <= MAX_DATA_CENTRES and all(map(is_possible_name, names))
    return None if is_possible else "data_centres"


def is_possible_name(name: str) -> bool:
    """Return whether a text has the length of a data centre's name."""
    return 0 < len(name) <= MAX_NAME_CHARACTERS
