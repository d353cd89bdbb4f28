"""Checks of a whole configuration document; every mistake is named with its place."""

import ipaddress
import re
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from pydantic import ValidationError

from chicorypost.base import Record
from chicorypost.configuration._document import ConfigurationDocument, ServiceSpec

MAX_DOCUMENT_BYTES = 1024 * 1024
MAX_SHOWN_CHARACTERS = 120
MAX_RETENTION_SECONDS = 30 * 86_400.0

ADDRESS_FORM = "ip:port/tcp or ip:port/udp with an IPv6 address in brackets"
_ADDRESS = re.compile(r"(?:\[(?P<v6>[^\]]+)\]|(?P<v4>[^:\[\]]+)):(?P<port>\d{1,5})/(?:tcp|udp)")
_HOST = re.compile(r"[a-z0-9](?:[a-z0-9.-]{0,251}[a-z0-9])?(?::\d{1,5})?")
_SERVICE = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,62})")
_METHOD = re.compile(r"[A-Z]{1,16}")


class PatchMistake(Record, frozen=True, array_like=True):
    """One thing that is wrong with a patch or with the document it leads to."""

    path: str
    got: str
    allowed: str


def check_document(value: object) -> ConfigurationDocument | tuple[PatchMistake, ...]:
    """Check a whole document.

    Parameters
    ----------
    value : object
        A document as JSON values.

    Returns
    -------
    ConfigurationDocument or tuple of PatchMistake
        The typed document, or every mistake that was found.
    """
    try:
        document = ConfigurationDocument.model_validate(value)
    except ValidationError as error:
        return tuple(_mistake_of(detail) for detail in error.errors(include_url=False))
    mistakes = tuple(_document_mistakes(document))
    return mistakes or document


def canonical_value(document: ConfigurationDocument) -> dict[str, Any]:
    """Return the document as JSON values without defaults and nulls."""
    return document.model_dump(mode="json", exclude_unset=True, exclude_none=True)


def json_pointer(parts: Iterable[object]) -> str:
    """Return the JSON pointer (RFC 6901) made of the given parts."""
    return "".join("/" + str(part).replace("~", "~0").replace("/", "~1") for part in parts)


def shown(value: object) -> str:
    """Return a short form of a value for messages to operators."""
    text = repr(value)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[:MAX_SHOWN_CHARACTERS] + "..."


def _mistake_of(detail: Mapping[str, Any]) -> PatchMistake:
    return PatchMistake(json_pointer(detail["loc"]), shown(detail["input"]), detail["msg"])


def _document_mistakes(document: ConfigurationDocument) -> Iterator[PatchMistake]:
    for name, service in document.services.items():
        place = ("services", name)
        if not _SERVICE.fullmatch(name):
            allowed = "1 to 63 lower-case letters, digits and hyphens"
            yield PatchMistake(json_pointer(place), shown(name), allowed)
        yield from _service_mistakes(place, service)
    yield from _duplicates(document, "addresses")
    yield from _duplicates(document, "hosts")


def _service_mistakes(place: tuple[str, str], service: ServiceSpec) -> Iterator[PatchMistake]:
    for index, address in enumerate(service.addresses):
        if not is_address(address):
            yield _at(place, "addresses", index, got=address, allowed=ADDRESS_FORM)
    for index, host in enumerate(service.hosts):
        if not _HOST.fullmatch(host):
            yield _at(place, "hosts", index, got=host, allowed="a lower-case host name")
    for index, rule in enumerate(service.idempotent):
        if not _METHOD.fullmatch(rule.method):
            at = ("idempotent", index, "method")
            yield _at(place, *at, got=rule.method, allowed="an upper-case HTTP method")
        if not rule.path_prefix.startswith("/"):
            at = ("idempotent", index, "path_prefix")
            yield _at(place, *at, got=rule.path_prefix, allowed="a path that begins with /")
    yield from _selector_mistakes(place, service)
    if service.retention_seconds > MAX_RETENTION_SECONDS:
        allowed = f"at most {MAX_RETENTION_SECONDS:.0f} seconds"
        yield _at(place, "retention_seconds", got=service.retention_seconds, allowed=allowed)


def _selector_mistakes(place: tuple[str, str], service: ServiceSpec) -> Iterator[PatchMistake]:
    selector = service.selector
    if not _SERVICE.fullmatch(selector.service):
        allowed = "the service name that upstreams announce"
        yield _at(place, "selector", "service", got=selector.service, allowed=allowed)
    if selector.data_centres is not None and not all(selector.data_centres):
        got = selector.data_centres
        yield _at(place, "selector", "data_centres", got=got, allowed="non-empty names")


def is_address(text: str) -> bool:
    """Say whether the text is a virtual address in its one canonical form."""
    match = _ADDRESS.fullmatch(text)
    if match is None or not _is_port(match["port"]):
        return False
    host, parse = (match["v6"], ipaddress.IPv6Address)
    if host is None:
        host, parse = (match["v4"], ipaddress.IPv4Address)  # type: ignore[assignment]
    try:
        return str(parse(host)) == host
    except ValueError:
        return False


def _is_port(text: str) -> bool:
    return 1 <= int(text) <= 65_535 and str(int(text)) == text


def _duplicates(document: ConfigurationDocument, field: str) -> Iterator[PatchMistake]:
    first_use: dict[str, str] = {}
    for name, service in document.services.items():
        for index, value in enumerate(getattr(service, field)):
            place = json_pointer(("services", name, field, index))
            earlier = first_use.setdefault(value, place)
            if earlier != place:
                yield PatchMistake(place, shown(value), f"a value not used before; see {earlier}")


def _at(place: tuple[str, str], *parts: object, got: object, allowed: str) -> PatchMistake:
    return PatchMistake(json_pointer((*place, *parts)), shown(got), allowed)
