"""Library for callers: keys, resends, deadlines and outcomes as values."""

from chicorypost.client._client import CallResult, Client
from chicorypost.client._settings import ClientSettings

__all__ = ["CallResult", "Client", "ClientSettings"]
