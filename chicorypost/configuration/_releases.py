"""Release barrier: an address or host changes its service only after every balancer let it go."""

import copy
from collections.abc import Iterator
from typing import Any

from chicorypost.base import Version
from chicorypost.configuration._commands import Assignment, Withheld

Owned = tuple[Assignment, str]
_FIELDS = {Assignment.ADDRESS: "addresses", Assignment.HOST: "hosts"}


def owners(document: dict[str, Any]) -> dict[Owned, str]:
    """Return which service each address and host of a document belongs to."""
    return {
        (kind, value): name
        for name, service in document.get("services", {}).items()
        for kind, value in _owned_by(service)
    }


def withhold(
    previous: dict[str, Any],
    withheld: tuple[Withheld, ...],
    desired: dict[str, Any],
    version: Version,
) -> tuple[Withheld, ...]:
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
    wanted = owners(desired)
    waiting = {(hold.kind, hold.value): hold for hold in withheld}
    for owned, service in owners(previous).items():
        waiting[owned] = Withheld(owned[0], owned[1], service, version)
    kept = (hold for owned, hold in waiting.items() if wanted.get(owned) != hold.former_service)
    return tuple(sorted(kept, key=lambda hold: (hold.kind.value, hold.value)))


def effective_document(desired: dict[str, Any], withheld: tuple[Withheld, ...]) -> dict[str, Any]:
    """Return the document as balancers apply it: without what is withheld."""
    blocked = {(hold.kind, hold.value) for hold in withheld}
    affected = {service for owned, service in owners(desired).items() if owned in blocked}
    if not affected:
        return desired
    services = dict(desired["services"])
    for name in affected:
        services[name] = _without(services[name], blocked)
    return {**desired, "services": services}


def _without(service: dict[str, Any], blocked: set[Owned]) -> dict[str, Any]:
    reduced = copy.copy(service)
    for kind, field in _FIELDS.items():
        if field in reduced:
            reduced[field] = [value for value in reduced[field] if (kind, value) not in blocked]
    return reduced


def _owned_by(service: dict[str, Any]) -> Iterator[Owned]:
    for kind, field in _FIELDS.items():
        for value in service.get(field, ()):
            yield kind, value
