"""Release barrier: an address or host changes its service only after every balancer let it go."""

import copy
from collections.abc import Iterator
from typing import Any

from chicorypost.base import Version
from chicorypost.configuration._commands import AssignmentKind, WithheldAssignment

AssignmentKey = tuple[AssignmentKind, str]
_FIELD_NAMES = {AssignmentKind.ADDRESS: "addresses", AssignmentKind.HOST: "hosts"}


def services_by_assignment(document: dict[str, Any]) -> dict[AssignmentKey, str]:
    """Return which service each address and host of a document belongs to."""
    return {
        (kind, value): name
        for name, service in document.get("services", {}).items()
        for kind, value in _list_assignments(service)
    }


def compute_withheld(
    previous: dict[str, Any],
    withheld: tuple[WithheldAssignment, ...],
    desired: dict[str, Any],
    version: Version,
) -> tuple[WithheldAssignment, ...]:
    """Return what is withheld once `desired` becomes `version`.

    Parameters
    ----------
    previous : dict
        The effective document so far.
    withheld : tuple of Withheld
        What is withheld so far.
    desired : dict
        The document that the operator asks for.
    version : Version
        The version that `desired` becomes.

    Returns
    -------
    tuple of Withheld
        Earlier releases that still wait, and what `desired` takes from its service. What goes
        back to its former service is no longer withheld: no other service had it meanwhile.
    """
    wanted = services_by_assignment(desired)
    waiting = {(hold.kind, hold.value): hold for hold in withheld}
    for owned, service in services_by_assignment(previous).items():
        waiting[owned] = WithheldAssignment(owned[0], owned[1], service, version)
    kept = (hold for owned, hold in waiting.items() if wanted.get(owned) != hold.former_service)
    return tuple(sorted(kept, key=lambda hold: (hold.kind.value, hold.value)))


def effective_document(
    desired: dict[str, Any], withheld: tuple[WithheldAssignment, ...]
) -> dict[str, Any]:
    """Return the document as balancers apply it: without what is withheld."""
    blocked = {(hold.kind, hold.value) for hold in withheld}
    affected = {
        service for owned, service in services_by_assignment(desired).items() if owned in blocked
    }
    if not affected:
        return desired
    services = dict(desired["services"])
    for name in affected:
        services[name] = _remove_blocked(services[name], blocked)
    return {**desired, "services": services}


def _remove_blocked(service: dict[str, Any], blocked: set[AssignmentKey]) -> dict[str, Any]:
    reduced = copy.copy(service)
    for kind, field in _FIELD_NAMES.items():
        if field in reduced:
            reduced[field] = [value for value in reduced[field] if (kind, value) not in blocked]
    return reduced


def _list_assignments(service: dict[str, Any]) -> Iterator[AssignmentKey]:
    for kind, field in _FIELD_NAMES.items():
        for value in service.get(field, ()):
            yield kind, value
