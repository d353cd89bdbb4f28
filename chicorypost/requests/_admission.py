"""Admission check for keys without a record."""

from chicorypost.base import Instant, RequestKey
from chicorypost.configuration import ServiceSpec
from chicorypost.requests._context import BalancerContext
from chicorypost.requests._key import parse_key
from chicorypost.requests._outcome import Outcome, Reason, RequestResult
from chicorypost.requests._partition import Partition


def check_new_key(
    key: RequestKey,
    spec: ServiceSpec,
    partition: Partition,
    context: BalancerContext,
    now: Instant,
) -> RequestResult | None:
    """Return the result that refuses a key without a record, or None if it may run.

    Parameters
    ----------
    key : RequestKey
        Idempotency key of the request.
    spec : ServiceSpec
        Configuration of the service, with the retention of its records.
    partition : Partition
        Partition of the key; its bounds cover the records that it may have lost.
    context : BalancerContext
        Settings and wall clock.
    now : Instant
        Current time.

    Returns
    -------
    RequestResult or None
        Outcome-unknown if the key may have had a record, rejected if its timestamp is in the
        future.
    """
    wall_time = context.wall_time(now)
    created_at = parse_key(key).created_at
    if created_at is None:
        may_be_lost = wall_time < partition.opaque_keys_unsafe_until
        return _outcome_unknown(Reason.RECORD_LOST) if may_be_lost else None
    if created_at > wall_time + context.settings.key_ahead_seconds:
        return RequestResult(Outcome.REJECTED, Reason.KEY_IN_FUTURE)
    if created_at < wall_time - spec.retention_seconds:
        return _outcome_unknown(Reason.RECORD_EXPIRED)
    if created_at <= partition.key_time_floor:
        return _outcome_unknown(Reason.RECORD_LOST)
    return None


def _outcome_unknown(reason: Reason) -> RequestResult:
    return RequestResult(Outcome.OUTCOME_UNKNOWN, reason)
