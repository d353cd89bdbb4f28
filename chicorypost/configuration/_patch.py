"""Patches: JSON Merge Patch (RFC 7396) and JSON Patch (RFC 6902) on a document."""

import copy
import json
from dataclasses import dataclass
from enum import Enum
from typing import Any

import json_merge_patch
import jsonpatch
from jsonpointer import JsonPointerException

from chicorypost.configuration._document import ConfigurationDocument
from chicorypost.configuration._validation import (
    MAX_DOCUMENT_BYTES,
    PatchMistake,
    canonical_value,
    check_document,
    json_pointer,
    shown,
)

MAX_PATCH_BYTES = 256 * 1024
MAX_OPERATIONS = 1_000
OPERATIONS = ("add", "copy", "move", "remove", "replace", "test")


class PatchFormat(Enum):
    """Format of a patch; the value is its media type."""

    MERGE_PATCH = "application/merge-patch+json"
    JSON_PATCH = "application/json-patch+json"


class RefusalReason(Enum):
    """Why a patch was not accepted."""

    MALFORMED = "malformed"
    INVALID = "invalid"
    STALE_VERSION = "stale-version"
    EXPIRED = "expired"
    PATCH_ID_REUSED = "patch-id-reused"
    PATCH_ID_INVALID = "patch-id-invalid"


@dataclass(frozen=True, slots=True)
class Patch:
    """A change as an operator wrote it."""

    format: PatchFormat
    body: bytes


@dataclass(frozen=True, slots=True)
class PatchRefusal:
    """A patch that was not applied; the document is unchanged and no version is used."""

    reason: RefusalReason
    mistakes: tuple[PatchMistake, ...] = ()


def apply_patch(
    document: ConfigurationDocument, patch: Patch
) -> ConfigurationDocument | PatchRefusal:
    """Apply a patch and check the result whole.

    Parameters
    ----------
    document : ConfigurationDocument
        The document to change; it is left as it is.
    patch : Patch
        The change.

    Returns
    -------
    ConfigurationDocument or PatchRefusal
        The checked result, or every mistake with its path, what was got and what is allowed.
    """
    parsed = _parse(patch.body)
    if isinstance(parsed, PatchMistake):
        return PatchRefusal(RefusalReason.MALFORMED, (parsed,))
    value = canonical_value(document)
    result = _merge(value, parsed) if _is_merge(patch) else _operate(value, parsed)
    if isinstance(result, PatchMistake):
        return PatchRefusal(RefusalReason.INVALID, (result,))
    oversize = _size_mistake(result)
    if oversize is not None:
        return PatchRefusal(RefusalReason.INVALID, (oversize,))
    checked = check_document(result)
    if isinstance(checked, ConfigurationDocument):
        return checked
    return PatchRefusal(RefusalReason.INVALID, checked)


def touched_paths(patch: Patch) -> tuple[str, ...]:
    """Return the paths that a well-formed patch changes, in order, without repeats."""
    parsed = _parse(patch.body)
    if isinstance(parsed, PatchMistake):
        return ()
    if _is_merge(patch):
        return tuple(_leaves(parsed, ()))
    return tuple(dict.fromkeys(operation["path"] for operation in parsed))


def _is_merge(patch: Patch) -> bool:
    return patch.format is PatchFormat.MERGE_PATCH


def _parse(body: bytes) -> Any:
    if len(body) > MAX_PATCH_BYTES:
        return PatchMistake("", f"{len(body)} bytes", f"at most {MAX_PATCH_BYTES} bytes")
    try:
        parsed = json.loads(
            body.decode("utf-8"), parse_constant=_refuse, object_pairs_hook=_unique_pairs
        )
        json.dumps(parsed, ensure_ascii=False).encode("utf-8")
    except (ValueError, RecursionError) as error:
        return PatchMistake("", str(error)[:200], "one JSON value in UTF-8 without repeated names")
    return parsed


def _refuse(constant: str) -> None:
    raise ValueError(f"{constant} is not JSON")


def _unique_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) != len(pairs):
        raise ValueError("an object has a repeated name")
    return result


def _merge(value: dict[str, Any], patch: Any) -> Any:
    if not isinstance(patch, dict):
        return PatchMistake("", shown(patch), "a JSON object")
    return json_merge_patch.merge(value, copy.deepcopy(patch))


def _operate(value: Any, operations: Any) -> Any:
    if not isinstance(operations, list) or len(operations) > MAX_OPERATIONS:
        return PatchMistake("", shown(operations), f"a list of at most {MAX_OPERATIONS} operations")
    for index, operation in enumerate(operations):
        if not _is_operation(operation):
            allowed = f"an object with op (one of {', '.join(OPERATIONS)}) and path"
            return PatchMistake(json_pointer((index,)), shown(operation), allowed)
        try:
            value = jsonpatch.JsonPatch([operation]).apply(value)
        except (jsonpatch.JsonPatchException, JsonPointerException) as error:
            return PatchMistake(json_pointer((index,)), shown(operation), str(error))
        except (LookupError, TypeError, ValueError, AttributeError):
            allowed = "an operation whose path exists in the document"
            return PatchMistake(json_pointer((index,)), shown(operation), allowed)
        # Repeated copies double the document, so the size is checked after each of them.
        oversize = _size_mistake(value) if operation["op"] == "copy" else None
        if oversize is not None:
            return oversize
    return value


def _is_operation(operation: object) -> bool:
    if not isinstance(operation, dict):
        return False
    return operation.get("op") in OPERATIONS and isinstance(operation.get("path"), str)


def _size_mistake(value: Any) -> PatchMistake | None:
    size = len(json.dumps(value))
    if size <= MAX_DOCUMENT_BYTES:
        return None
    return PatchMistake("", f"a document of {size} bytes", f"at most {MAX_DOCUMENT_BYTES} bytes")


def _leaves(value: Any, place: tuple[str, ...]) -> list[str]:
    if not isinstance(value, dict) or not value:
        return [json_pointer(place)]
    return [leaf for key, item in value.items() for leaf in _leaves(item, (*place, key))]
