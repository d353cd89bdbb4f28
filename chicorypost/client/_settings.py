"""Settings of the client library."""

from pydantic import Field

from chicorypost.base import DataCentreId, Settings


class ClientSettings(Settings):
    """Addresses, timeouts and limits of a client.

    Parameters
    ----------
    endpoints : tuple of (str, int)
        Addresses of the service; attempts use them in turn.
    data_centre : DataCentreId or None, default=None
        Data centre that owns the keys created by the client; if None, a hash of the key selects it.
    deadline_seconds : float, default=10.0
        Timeout of a request, including all attempts.
    attempt_seconds : float, default=3.0
        Timeout of one attempt, after which the request is resent with the same key.
    backoff_seconds : float, default=0.1
        Wait after an attempt without a Retry-After header; doubles with each such attempt in a
        row.
    max_wait_seconds : float, default=5.0
        Maximum wait between attempts, also if Retry-After is longer.
    body_bytes : int, default=16777216
        Maximum size of a response body.
    """

    endpoints: tuple[tuple[str, int], ...] = Field(min_length=1)
    data_centre: DataCentreId | None = None
    deadline_seconds: float = Field(default=10.0, gt=0, le=3600)
    attempt_seconds: float = Field(default=3.0, gt=0, le=3600)
    backoff_seconds: float = Field(default=0.1, gt=0, le=60)
    max_wait_seconds: float = Field(default=5.0, gt=0, le=600)
    body_bytes: int = Field(default=16_777_216, ge=1)
