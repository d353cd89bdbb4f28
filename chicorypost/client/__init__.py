"""Client library: sends requests with idempotency keys, retries and deadlines."""

from chicorypost.client._client import CallResult, Client
from chicorypost.client._settings import ClientSettings

__all__ = ["CallResult", "Client", "ClientSettings"]
