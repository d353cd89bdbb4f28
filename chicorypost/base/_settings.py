"""Base of settings objects: checked whole, immutable, unknown keys refused."""

from pydantic import BaseModel, ConfigDict


class Settings(BaseModel):
    """Base of every settings section; pydantic checks types, bounds and unknown keys."""

    model_config = ConfigDict(frozen=True, extra="forbid", strict=False)
