"""Records and data classes as JSON objects with named fields, for operators."""

from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

from chicorypost.base import Record


def to_json_value(value: Any) -> Any:
    """Return a value with every record and data class as a map from field names.

    Parameters
    ----------
    value : object
        Records, data classes, enumerations, lists, tuples, maps and plain values, nested.

    Returns
    -------
    object
        What JSON can hold.
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
