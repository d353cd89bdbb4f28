"""Bounds of numeric settings in data classes that must not import pydantic."""

from typing import Any

import msgspec


class Bound(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Bounds of a number, given in its annotation; pydantic checks them where it is used."""

    gt: float | None = None
    ge: float | None = None
    le: float | None = None

    def __get_pydantic_core_schema__(self, source: Any, handler: Any) -> Any:
        """Return the pydantic schema of the annotated type, extended by the bounds."""
        return {**handler(source), **msgspec.to_builtins(self)}
