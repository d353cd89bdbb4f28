"""Formats of patches, apart from their application, which operators' commands don't need."""

from enum import Enum


class PatchFormat(Enum):
    """Format of a patch; the value is its media type."""

    MERGE_PATCH = "application/merge-patch+json"
    JSON_PATCH = "application/json-patch+json"
