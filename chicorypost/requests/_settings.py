"""Settings of request ownership and retries."""

from typing import Self

from pydantic import Field, model_validator

from chicorypost.base import MAX_MESSAGE_BYTES, DataCentreId, Settings

RECORD_OVERHEAD_BYTES = 16_384
"""Allowance for the key, the attempt and the headers of one record."""


class RequestSettings(Settings):
    """Settings of the records of requests with a key and of retries.

    Parameters
    ----------
    data_centres : tuple of DataCentreId, default=()
        All data centres, identical on every instance: a key without a prefix is placed by hash
        over them. Empty means the data centre of the instance alone.
    max_records : int, default=20000
        Maximum number of records that an instance owns, and of those that it backs up.
    max_answer_bytes : int, default=65536
        Largest response body that a record keeps, in bytes.
    max_kept_bytes : int, default=33554432
        Limit of the sum of the response bodies that the records of an instance keep, in bytes.
    max_attempts : int, default=3
        Maximum number of attempts per request.
    max_waiters : int, default=16
        Maximum number of callers that wait for the same key.
    max_open_attempts : int, default=4096
        Maximum number of attempts that a runner keeps until their results are recorded.
    max_barred_attempts : int, default=16384
        Maximum number of attempts that a runner excludes from running.
    clock_skew_seconds : float, default=1.0
        Largest difference between the wall clocks of two balancers.
    key_ahead_seconds : float, default=5.0
        How far in the future the timestamp of a key may be.
    answer_margin_seconds : float, default=0.1
        Part of a request's deadline that is reserved for sending the outcome to the caller.
    cancel_grace_seconds : float, default=1.0
        How long a request whose caller has disconnected waits for a resend before it is
        cancelled.
    resend_seconds : float, default=0.2
        Initial interval at which unacknowledged messages are resent.
    max_resend_seconds : float, default=2.0
        Upper bound of that interval, which doubles with each resend.
    retry_after_seconds : float, default=1.0
        Default of the Retry-After header.
    attempt_share : float, default=0.5
        Share of the remaining time after which an idempotent attempt times out.
    budget_capacity : float, default=10.0
        Maximum number of retries that successes accumulate per service.
    copy_records : int, default=32
        Records in one part of a partition copy, which must fit into one message with all
        responses.
    """

    data_centres: tuple[DataCentreId, ...] = ()
    max_records: int = Field(default=20_000, ge=1, le=10_000_000)
    max_answer_bytes: int = Field(default=65_536, ge=0, le=1_048_576)
    max_kept_bytes: int = Field(default=33_554_432, ge=0)
    max_attempts: int = Field(default=3, ge=1, le=10)
    max_waiters: int = Field(default=16, ge=1, le=1000)
    max_open_attempts: int = Field(default=4096, ge=1)
    max_barred_attempts: int = Field(default=16_384, ge=1)
    clock_skew_seconds: float = Field(default=1.0, ge=0, le=3600)
    key_ahead_seconds: float = Field(default=5.0, ge=0, le=3600)
    answer_margin_seconds: float = Field(default=0.1, ge=0, le=10)
    cancel_grace_seconds: float = Field(default=1.0, ge=0, le=60)
    resend_seconds: float = Field(default=0.2, gt=0, le=10)
    max_resend_seconds: float = Field(default=2.0, gt=0, le=60)
    retry_after_seconds: float = Field(default=1.0, gt=0, le=600)
    attempt_share: float = Field(default=0.5, gt=0, le=1)
    budget_capacity: float = Field(default=10.0, ge=0, le=10_000)
    copy_records: int = Field(default=32, ge=1, le=4096)

    @model_validator(mode="after")
    def check_copy_size(self) -> Self:
        """Reject settings whose parts of copies may exceed the message size."""
        largest = self.copy_records * (self.max_answer_bytes + RECORD_OVERHEAD_BYTES)
        if largest > MAX_MESSAGE_BYTES:
            raise ValueError(
                f"copy_records with max_answer_bytes is too large: got {largest} bytes,"
                f" allowed {MAX_MESSAGE_BYTES}"
            )
        return self
