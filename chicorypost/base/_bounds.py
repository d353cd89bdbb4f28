"""Bounds of settings, for data classes that must not import pydantic."""

from typing import Any

import msgspec


class Bound(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Bounds of a number, as metadata of its annotation; pydantic applies them when it is used."""

    gt: float | None = None
    ge: float | None = None
    le: float | None = None

    def __get_pydantic_core_schema__(self, source: Any, handler: Any) -> Any:
        """Return the schema of the annotated type with the bounds."""
        return {**handler(source), **msgspec.to_builtins(self)}
