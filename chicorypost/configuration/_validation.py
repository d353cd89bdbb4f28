"""Validation of a configuration document; every error is reported with its path."""

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
    """An invalid value in a patch or in the resulting document."""

    path: str
    got: str
    allowed: str


def check_document(value: object) -> ConfigurationDocument | tuple[InvalidValue, ...]:
    """Validate a document.

    Parameters
    ----------
    value : object
        A document as JSON values.

    Returns
    -------
    ConfigurationDocument or tuple of InvalidValue
        The typed document, or every error found.
    """
    try:
        document = ConfigurationDocument.model_validate(value)
    except ValidationError as error:
        return tuple(_convert_error(detail) for detail in error.errors(include_url=False))
    errors = tuple(_find_document_errors(document))
    return errors or document


def canonical_value(document: ConfigurationDocument) -> dict[str, Any]:
    """Return the document as JSON values without unset fields and nulls."""
    return document.model_dump(mode="json", exclude_unset=True, exclude_none=True)


def json_pointer(parts: Iterable[object]) -> str:
    """Return the JSON pointer (RFC 6901) of a sequence of keys and indices."""
    return "".join("/" + str(part).replace("~", "~0").replace("/", "~1") for part in parts)


def format_value(value: object) -> str:
    """Return the `repr` of a value, truncated to `MAX_FORMATTED_CHARACTERS`."""
    text = repr(value)
    if len(text) <= MAX_FORMATTED_CHARACTERS:
        return text
    return text[:MAX_FORMATTED_CHARACTERS] + "..."


def _convert_error(detail: Mapping[str, Any]) -> InvalidValue:
    return InvalidValue(json_pointer(detail["loc"]), format_value(detail["input"]), detail["msg"])


def _find_document_errors(document: ConfigurationDocument) -> Iterator[InvalidValue]:
    for name, service in document.services.items():
        path = ("services", name)
        if not _SERVICE_PATTERN.fullmatch(name):
            allowed = "1 to 63 lower-case letters, digits and hyphens"
            yield InvalidValue(json_pointer(path), format_value(name), allowed)
        yield from _find_service_errors(path, service)
    yield from _find_duplicates(document, "addresses")
    yield from _find_duplicates(document, "hosts")


def _find_service_errors(path: tuple[str, str], service: ServiceSpec) -> Iterator[InvalidValue]:
    for index, address in enumerate(service.addresses):
        if not is_virtual_address(address):
            yield _make_error(path, "addresses", index, got=address, allowed=ADDRESS_FORMAT)
    for index, host in enumerate(service.hosts):
        if not _HOST_PATTERN.fullmatch(host):
            yield _make_error(path, "hosts", index, got=host, allowed="a lower-case host name")
    for index, rule in enumerate(service.idempotent):
        if not _METHOD_PATTERN.fullmatch(rule.method):
            location = ("idempotent", index, "method")
            yield _make_error(path, *location, got=rule.method, allowed="an upper-case HTTP method")
        if not rule.path_prefix.startswith("/"):
            location = ("idempotent", index, "path_prefix")
            yield _make_error(
                path, *location, got=rule.path_prefix, allowed="a path that begins with /"
            )
    yield from _find_selector_errors(path, service)
    if service.retention_seconds > MAX_RETENTION_SECONDS:
        allowed = f"at most {MAX_RETENTION_SECONDS:.0f} seconds"
        yield _make_error(path, "retention_seconds", got=service.retention_seconds, allowed=allowed)


def _find_selector_errors(path: tuple[str, str], service: ServiceSpec) -> Iterator[InvalidValue]:
    selector = service.selector
    if not _SERVICE_PATTERN.fullmatch(selector.service):
        allowed = "the service name that upstreams announce"
        yield _make_error(path, "selector", "service", got=selector.service, allowed=allowed)
    if selector.data_centres is not None and not all(selector.data_centres):
        got = selector.data_centres
        yield _make_error(path, "selector", "data_centres", got=got, allowed="non-empty names")


def is_virtual_address(text: str) -> bool:
    """Return whether the text is a virtual address in canonical form."""
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
            path = json_pointer(("services", name, field, index))
            first_path = first_use.setdefault(value, path)
            if first_path != path:
                yield InvalidValue(
                    path, format_value(value), f"a value not used before; see {first_path}"
                )


def _make_error(path: tuple[str, str], *parts: object, got: object, allowed: str) -> InvalidValue:
    return InvalidValue(json_pointer((*path, *parts)), format_value(got), allowed)
