"""Base class of validated, immutable settings."""

from pydantic import BaseModel, ConfigDict


class Settings(BaseModel):
    """Base class of a settings section; pydantic checks types and bounds and forbids other keys."""

    model_config = ConfigDict(frozen=True, extra="forbid", strict=False)
