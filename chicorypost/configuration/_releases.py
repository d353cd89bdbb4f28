"""Release barrier: an address or host is reassigned only after every balancer has released it."""

import copy
from collections.abc import Iterator
from typing import Any

from chicorypost.base import Version
from chicorypost.configuration._commands import AssignmentKind, WithheldAssignment

AssignmentKey = tuple[AssignmentKind, str]
_FIELD_NAMES = {AssignmentKind.ADDRESS: "addresses", AssignmentKind.HOST: "hosts"}


def services_by_assignment(document: dict[str, Any]) -> dict[AssignmentKey, str]:
    """Return the service that each address and host of a document is assigned to."""
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
    """Return the withheld assignments once `desired` becomes `version`.

    Parameters
    ----------
    previous : dict
        The current effective document.
    withheld : tuple of WithheldAssignment
        The assignments withheld so far.
    desired : dict
        The document requested by the operator.
    version : Version
        The version that `desired` becomes.

    Returns
    -------
    tuple of WithheldAssignment
        Earlier releases that are not cleared, and what `desired` removes from its service. An
        assignment that returns to its former service is no longer withheld, because no other
        service used it in the meantime.
    """
    desired_services = services_by_assignment(desired)
    released = {(assignment.kind, assignment.value): assignment for assignment in withheld}
    for key, service in services_by_assignment(previous).items():
        released[key] = WithheldAssignment(key[0], key[1], service, version)
    remaining = (
        assignment
        for key, assignment in released.items()
        if desired_services.get(key) != assignment.former_service
    )
    return tuple(
        sorted(remaining, key=lambda assignment: (assignment.kind.value, assignment.value))
    )


def effective_document(
    desired: dict[str, Any], withheld: tuple[WithheldAssignment, ...]
) -> dict[str, Any]:
    """Return the document that balancers apply: `desired` without the withheld assignments."""
    blocked = {(assignment.kind, assignment.value) for assignment in withheld}
    affected = {
        service for key, service in services_by_assignment(desired).items() if key in blocked
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
