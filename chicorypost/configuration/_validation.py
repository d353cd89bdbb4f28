"""Checks of a whole configuration document; every mistake is named with its place."""

import ipaddress
import re
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from pydantic import ValidationError

from chicorypost.base import Record
from chicorypost.configuration._document import ConfigurationDocument, ServiceSpec

MAX_DOCUMENT_BYTES = 1024 * 1024
MAX_FORMATTED_CHARACTERS = 120
MAX_RETENTION_SECONDS = 30 * 86_400.0

ADDRESS_FORMAT = "ip:port/tcp or ip:port/udp with an IPv6 address in brackets"
_ADDRESS_PATTERN = re.compile(
    r"(?:\[(?P<v6>[^\]]+)\]|(?P<v4>[^:\[\]]+)):(?P<port>\d{1,5})/(?:tcp|udp)"
)
_HOST_PATTERN = re.compile(r"[a-z0-9](?:[a-z0-9.-]{0,251}[a-z0-9])?(?::\d{1,5})?")
_SERVICE_PATTERN = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,62})")
_METHOD_PATTERN = re.compile(r"[A-Z]{1,16}")


class InvalidValue(Record, frozen=True, array_like=True):
    """One thing that is wrong with a patch or with the document it leads to."""

    path: str
    got: str
    allowed: str


def check_document(value: object) -> ConfigurationDocument | tuple[InvalidValue, ...]:
    """Check a whole document.

    Parameters
    ----------
    value : object
        A document as JSON values.

    Returns
    -------
    ConfigurationDocument or tuple of InvalidValue
        The typed document, or every mistake that was found.
    """
    try:
        document = ConfigurationDocument.model_validate(value)
    except ValidationError as error:
        return tuple(_convert_error(detail) for detail in error.errors(include_url=False))
    mistakes = tuple(_find_document_errors(document))
    return mistakes or document


def canonical_value(document: ConfigurationDocument) -> dict[str, Any]:
    """Return the document as JSON values without defaults and nulls."""
    return document.model_dump(mode="json", exclude_unset=True, exclude_none=True)


def json_pointer(parts: Iterable[object]) -> str:
    """Return the JSON pointer (RFC 6901) made of the given parts."""
    return "".join("/" + str(part).replace("~", "~0").replace("/", "~1") for part in parts)


def format_value(value: object) -> str:
    """Return a short form of a value for messages to operators."""
    text = repr(value)
    if len(text) <= MAX_FORMATTED_CHARACTERS:
        return text
    return text[:MAX_FORMATTED_CHARACTERS] + "..."


def _convert_error(detail: Mapping[str, Any]) -> InvalidValue:
    return InvalidValue(json_pointer(detail["loc"]), format_value(detail["input"]), detail["msg"])


def _find_document_errors(document: ConfigurationDocument) -> Iterator[InvalidValue]:
    for name, service in document.services.items():
        place = ("services", name)
        if not _SERVICE_PATTERN.fullmatch(name):
            allowed = "1 to 63 lower-case letters, digits and hyphens"
            yield InvalidValue(json_pointer(place), format_value(name), allowed)
        yield from _find_service_errors(place, service)
    yield from _find_duplicates(document, "addresses")
    yield from _find_duplicates(document, "hosts")


def _find_service_errors(place: tuple[str, str], service: ServiceSpec) -> Iterator[InvalidValue]:
    for index, address in enumerate(service.addresses):
        if not is_virtual_address(address):
            yield _make_error(place, "addresses", index, got=address, allowed=ADDRESS_FORMAT)
    for index, host in enumerate(service.hosts):
        if not _HOST_PATTERN.fullmatch(host):
            yield _make_error(place, "hosts", index, got=host, allowed="a lower-case host name")
    for index, rule in enumerate(service.idempotent):
        if not _METHOD_PATTERN.fullmatch(rule.method):
            at = ("idempotent", index, "method")
            yield _make_error(place, *at, got=rule.method, allowed="an upper-case HTTP method")
        if not rule.path_prefix.startswith("/"):
            at = ("idempotent", index, "path_prefix")
            yield _make_error(place, *at, got=rule.path_prefix, allowed="a path that begins with /")
    yield from _find_selector_errors(place, service)
    if service.retention_seconds > MAX_RETENTION_SECONDS:
        allowed = f"at most {MAX_RETENTION_SECONDS:.0f} seconds"
        yield _make_error(
            place, "retention_seconds", got=service.retention_seconds, allowed=allowed
        )


def _find_selector_errors(place: tuple[str, str], service: ServiceSpec) -> Iterator[InvalidValue]:
    selector = service.selector
    if not _SERVICE_PATTERN.fullmatch(selector.service):
        allowed = "the service name that upstreams announce"
        yield _make_error(place, "selector", "service", got=selector.service, allowed=allowed)
    if selector.data_centres is not None and not all(selector.data_centres):
        got = selector.data_centres
        yield _make_error(place, "selector", "data_centres", got=got, allowed="non-empty names")


def is_virtual_address(text: str) -> bool:
    """Say whether the text is a virtual address in its one canonical form."""
    match = _ADDRESS_PATTERN.fullmatch(text)
    if match is None or not _is_valid_port(match["port"]):
        return False
    host, parse = (match["v6"], ipaddress.IPv6Address)
    if host is None:
        host, parse = (match["v4"], ipaddress.IPv4Address)  # type: ignore[assignment]
    try:
        return str(parse(host)) == host
    except ValueError:
        return False


def _is_valid_port(text: str) -> bool:
    return 1 <= int(text) <= 65_535 and str(int(text)) == text


def _find_duplicates(document: ConfigurationDocument, field: str) -> Iterator[InvalidValue]:
    first_use: dict[str, str] = {}
    for name, service in document.services.items():
        for index, value in enumerate(getattr(service, field)):
            place = json_pointer(("services", name, field, index))
            earlier = first_use.setdefault(value, place)
            if earlier != place:
                yield InvalidValue(
                    place, format_value(value), f"a value not used before; see {earlier}"
                )


def _make_error(place: tuple[str, str], *parts: object, got: object, allowed: str) -> InvalidValue:
    return InvalidValue(json_pointer((*place, *parts)), format_value(got), allowed)
