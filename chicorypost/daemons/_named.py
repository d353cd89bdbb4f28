"""Converts records and data classes to JSON objects with named fields."""

from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

from chicorypost.base import Record


def to_json_value(value: Any) -> Any:
    """Convert a value for JSON; records and data classes become objects keyed by field name.

    Parameters
    ----------
    value : object
        Nested records, data classes, enumerations, lists, tuples, dictionaries and plain values.

    Returns
    -------
    object
        A JSON-compatible value.
    """
    match value:
        case Record():
            return {name: to_json_value(getattr(value, name)) for name in value.__struct_fields__}
        case Enum():
            return value.value
        case dict():
            return {str(key): to_json_value(item) for key, item in value.items()}
        case list() | tuple():
            return [to_json_value(item) for item in value]
    if is_dataclass(value):
        return {item.name: to_json_value(getattr(value, item.name)) for item in fields(value)}
    return value
