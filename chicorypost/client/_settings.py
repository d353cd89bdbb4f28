"""Settings of a caller."""

from pydantic import Field

from chicorypost.base import DataCentreId, Settings


class ClientSettings(Settings):
    """How a caller reaches a service.

    Parameters
    ----------
    endpoints : tuple of (str, int)
        Addresses of the service; each attempt takes the next one.
    data_centre : DataCentreId or None, default=None
        Data centre that decides on the keys made here; None leaves it to a hash.
    deadline_seconds : float, default=10.0
        Time for a request with all its attempts.
    attempt_seconds : float, default=3.0
        Time for one attempt, after which the same key is sent again.
    backoff_seconds : float, default=0.1
        Wait after a failed connection; doubles with each failure in a row.
    max_wait_seconds : float, default=5.0
        Longest wait between attempts, also if Retry-After asks for more.
    body_bytes : int, default=16777216
        Largest answer that is accepted.
    """

    endpoints: tuple[tuple[str, int], ...] = Field(min_length=1)
    data_centre: DataCentreId | None = None
    deadline_seconds: float = Field(default=10.0, gt=0, le=3600)
    attempt_seconds: float = Field(default=3.0, gt=0, le=3600)
    backoff_seconds: float = Field(default=0.1, gt=0, le=60)
    max_wait_seconds: float = Field(default=5.0, gt=0, le=600)
    body_bytes: int = Field(default=16_777_216, ge=1)
