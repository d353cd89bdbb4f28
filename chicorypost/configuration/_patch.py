"""JSON Merge Patches (RFC 7396) and JSON Patches (RFC 6902) of a configuration document."""

import copy
import json
from dataclasses import dataclass
from enum import Enum
from typing import Any

import json_merge_patch
import jsonpatch
from jsonpointer import JsonPointerException

from chicorypost.configuration._document import ConfigurationDocument
from chicorypost.configuration._patch_format import PatchFormat
from chicorypost.configuration._validation import (
    MAX_DOCUMENT_BYTES,
    InvalidValue,
    canonical_value,
    check_document,
    format_value,
    json_pointer,
)

MAX_PATCH_BYTES = 256 * 1024
MAX_OPERATIONS = 1_000
OPERATION_NAMES = ("add", "copy", "move", "remove", "replace", "test")


class PatchRefusalReason(Enum):
    """Why a patch was not accepted."""

    MALFORMED = "malformed"
    INVALID = "invalid"
    STALE_VERSION = "stale-version"
    EXPIRED = "expired"
    PATCH_ID_REUSED = "patch-id-reused"
    PATCH_ID_INVALID = "patch-id-invalid"


@dataclass(frozen=True, slots=True)
class Patch:
    """A patch as sent by an operator, not yet parsed."""

    format: PatchFormat
    body: bytes


@dataclass(frozen=True, slots=True)
class InvalidPatch:
    """Why a patch can't be applied to a document."""

    reason: PatchRefusalReason
    errors: tuple[InvalidValue, ...] = ()


def apply_patch(
    document: ConfigurationDocument, patch: Patch
) -> ConfigurationDocument | InvalidPatch:
    """Apply a patch and validate the resulting document.

    Parameters
    ----------
    document : ConfigurationDocument
        The document to change; it is not modified.
    patch : Patch
        The patch to apply.

    Returns
    -------
    ConfigurationDocument or InvalidPatch
        The validated result, or every error with its path, the value got and what is allowed.
    """
    parsed = _parse_body(patch.body)
    if isinstance(parsed, InvalidValue):
        return InvalidPatch(PatchRefusalReason.MALFORMED, (parsed,))
    value = canonical_value(document)
    result = (
        _apply_merge_patch(value, parsed)
        if _is_merge_patch(patch)
        else _apply_operations(value, parsed)
    )
    if isinstance(result, InvalidValue):
        return InvalidPatch(PatchRefusalReason.INVALID, (result,))
    oversize = _check_size(result)
    if oversize is not None:
        return InvalidPatch(PatchRefusalReason.INVALID, (oversize,))
    checked = check_document(result)
    if isinstance(checked, ConfigurationDocument):
        return checked
    return InvalidPatch(PatchRefusalReason.INVALID, checked)


def changed_paths(patch: Patch) -> tuple[str, ...]:
    """Return the paths that a well-formed patch changes, in order, without duplicates."""
    parsed = _parse_body(patch.body)
    if isinstance(parsed, InvalidValue):
        return ()
    if _is_merge_patch(patch):
        return tuple(_leaf_pointers(parsed, ()))
    return tuple(dict.fromkeys(operation["path"] for operation in parsed))


def _is_merge_patch(patch: Patch) -> bool:
    return patch.format is PatchFormat.MERGE_PATCH


def _parse_body(body: bytes) -> Any:
    if len(body) > MAX_PATCH_BYTES:
        return InvalidValue("", f"{len(body)} bytes", f"at most {MAX_PATCH_BYTES} bytes")
    try:
        parsed = json.loads(
            body.decode("utf-8"), parse_constant=_reject_constant, object_pairs_hook=_build_object
        )
        json.dumps(parsed, ensure_ascii=False).encode("utf-8")
    except (ValueError, RecursionError) as error:
        return InvalidValue("", str(error)[:200], "one JSON value in UTF-8 without repeated names")
    return parsed


def _reject_constant(constant: str) -> None:
    raise ValueError(f"{constant} is not JSON")


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) != len(pairs):
        raise ValueError("an object has a repeated name")
    return result


def _apply_merge_patch(value: dict[str, Any], patch: Any) -> Any:
    if not isinstance(patch, dict):
        return InvalidValue("", format_value(patch), "a JSON object")
    return json_merge_patch.merge(value, copy.deepcopy(patch))


def _apply_operations(value: Any, operations: Any) -> Any:
    if not isinstance(operations, list) or len(operations) > MAX_OPERATIONS:
        return InvalidValue(
            "", format_value(operations), f"a list of at most {MAX_OPERATIONS} operations"
        )
    for index, operation in enumerate(operations):
        if not _is_valid_operation(operation):
            allowed = f"an object with op (one of {', '.join(OPERATION_NAMES)}) and path"
            return InvalidValue(json_pointer((index,)), format_value(operation), allowed)
        try:
            value = jsonpatch.JsonPatch([operation]).apply(value)
        except (jsonpatch.JsonPatchException, JsonPointerException) as error:
            return InvalidValue(json_pointer((index,)), format_value(operation), str(error))
        except (LookupError, TypeError, ValueError, AttributeError):
            allowed = "an operation whose path exists in the document"
            return InvalidValue(json_pointer((index,)), format_value(operation), allowed)
        # Each copy can double the document, so the size is checked after every copy.
        oversize = _check_size(value) if operation["op"] == "copy" else None
        if oversize is not None:
            return oversize
    return value


def _is_valid_operation(operation: object) -> bool:
    if not isinstance(operation, dict):
        return False
    return operation.get("op") in OPERATION_NAMES and isinstance(operation.get("path"), str)


def _check_size(value: Any) -> InvalidValue | None:
    size = len(json.dumps(value))
    if size <= MAX_DOCUMENT_BYTES:
        return None
    return InvalidValue("", f"a document of {size} bytes", f"at most {MAX_DOCUMENT_BYTES} bytes")


def _leaf_pointers(value: Any, path: tuple[str, ...]) -> list[str]:
    if not isinstance(value, dict) or not value:
        return [json_pointer(path)]
    return [leaf for key, item in value.items() for leaf in _leaf_pointers(item, (*path, key))]
