"""Whether a key without a record may run."""

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
    """Return why a key without a record must not run, or None if it may.

    Parameters
    ----------
    key : RequestKey
        The key.
    spec : ServiceSpec
        The service, with its retention.
    partition : Partition
        The partition, with what may have been lost of it.
    context : BalancerContext
        Settings and wall clock.
    now : Instant
        Current time.

    Returns
    -------
    Verdict or None
        Outcome-unknown for a key that may have had a record, rejected for one from the future.
    """
    wall = context.wall_time(now)
    made_at = parse_key(key).created_at
    if made_at is None:
        is_lost = wall < partition.opaque_keys_unsafe_until
        return _unknown(Reason.RECORD_LOST) if is_lost else None
    if made_at > wall + context.settings.key_ahead_seconds:
        return RequestResult(Outcome.REJECTED, Reason.KEY_IN_FUTURE)
    if made_at < wall - spec.retention_seconds:
        return _unknown(Reason.RECORD_EXPIRED)
    if made_at <= partition.key_time_floor:
        return _unknown(Reason.RECORD_LOST)
    return None


def _unknown(reason: Reason) -> RequestResult:
    return RequestResult(Outcome.OUTCOME_UNKNOWN, reason)
