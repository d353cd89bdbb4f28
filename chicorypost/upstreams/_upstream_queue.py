"""Priority queue, slots and exchange duration estimate of one upstream at its dispatcher."""

import heapq
from dataclasses import dataclass, field
from typing import Any

from chicorypost.base import AttemptId, InstanceId, Instant, Upstream
from chicorypost.configuration import ConfigurationDocument, Priority
from chicorypost.upstreams._limits import effective_queue_length, effective_slots
from chicorypost.upstreams._messages import HttpRequest
from chicorypost.upstreams._settings import DispatcherSettings

MEAN_SMOOTHING = 0.125
DEVIATION_SMOOTHING = 0.25
MIN_RETRY_SECONDS = 0.05
CLASSES = tuple(Priority)


@dataclass(frozen=True, slots=True)
class DispatchAttempt:
    """An attempt that is queued or running."""

    attempt_id: AttemptId
    entry: InstanceId
    priority: Priority
    deadline: Instant
    request: HttpRequest


@dataclass(frozen=True, slots=True)
class RunningExchange:
    """An attempt that was started at the upstream."""

    attempt: DispatchAttempt
    upstream: Upstream
    deadline: Instant
    started: Instant


class DurationEstimate:
    """Exponentially weighted mean and absolute deviation of exchange durations, in seconds."""

    def __init__(self, initial_seconds: float) -> None:
        self.mean = initial_seconds
        self.deviation = initial_seconds / 2

    def add_sample(self, seconds: float) -> None:
        """Update the estimate with the duration of one exchange."""
        error = seconds - self.mean
        self.mean += MEAN_SMOOTHING * error
        self.deviation += DEVIATION_SMOOTHING * (abs(error) - self.deviation)

    @property
    def upper_estimate(self) -> float:
        """Mean plus deviation: a duration in seconds that most exchanges do not exceed."""
        return self.mean + self.deviation


@dataclass(slots=True)
class UpstreamQueue:
    """Queued and running attempts of one upstream.

    `handed_over_ends` are the latest ends of exchanges that other dispatchers may have started.
    Until `blocked_until`, exchanges of other dispatchers may occupy every slot.
    """

    upstream: Upstream
    settings: DispatcherSettings
    estimate: DurationEstimate
    slots: int
    queue_length: int
    blocked_until: Instant
    running: dict[AttemptId, RunningExchange] = field(default_factory=dict)
    handed_over_ends: dict[InstanceId, list[Instant]] = field(default_factory=dict)
    queues: dict[Priority, list[tuple[Instant, int, DispatchAttempt]]] = field(
        default_factory=lambda: {priority: [] for priority in CLASSES}
    )
    skip_counts: dict[Priority, int] = field(default_factory=lambda: dict.fromkeys(CLASSES, 0))
    push_count: int = 0

    @property
    def queued_count(self) -> int:
        """Number of queued attempts of all priorities."""
        return sum(map(len, self.queues.values()))

    def used_slots(self, now: Instant) -> int:
        """Return the number of slots that may be occupied."""
        if now < self.blocked_until:
            return self.slots
        incarnation = self.upstream.incarnation
        own = sum(r.upstream.incarnation == incarnation for r in self.running.values())
        handed_over = sum(end > now for ends in self.handed_over_ends.values() for end in ends)
        return own + handed_over

    def apply_limits(self, document: ConfigurationDocument) -> None:
        """Apply the limits of a configuration."""
        self.slots = effective_slots(document, self.upstream)
        default = self.settings.default_queue_length
        self.queue_length = effective_queue_length(document, self.upstream, default)

    def start_attempts(self, now: Instant) -> list[RunningExchange]:
        """Move attempts from the queue to the free slots and return the exchanges to start."""
        started: list[RunningExchange] = []
        while self.used_slots(now) < self.slots:
            attempt = self.pop_next()
            if attempt is None:
                break
            latest = Instant(now + self.settings.max_exchange_seconds)
            exchange = RunningExchange(attempt, self.upstream, min(attempt.deadline, latest), now)
            self.running[attempt.attempt_id] = exchange
            started.append(exchange)
        return started

    def release_expired_slots(self, now: Instant) -> None:
        """Release the slots of exchanges of other dispatchers that must have ended."""
        if self.blocked_until <= now:
            self.blocked_until = Instant(0.0)
        for source, ends in list(self.handed_over_ends.items()):
            self.handed_over_ends[source] = [end for end in ends if end > now]
            if not self.handed_over_ends[source]:
                del self.handed_over_ends[source]

    def has_room(self, priority: Priority) -> bool:
        """Return whether one more attempt of a priority fits into the queue."""
        share = self.settings.queue_share
        length = len(self.queues[priority])
        if length >= max(1, int(self.queue_length * share)):
            return False
        reserved = max(1, int(self.queue_length * (1 - share) / 2))
        return self.queued_count < self.queue_length or length < reserved

    def expected_wait_seconds(self, priority: Priority, deadline: Instant, now: Instant) -> float:
        """Return the expected time in seconds until a new attempt would start."""
        ahead = 0
        for other in CLASSES:
            if CLASSES.index(other) < CLASSES.index(priority):
                ahead += len(self.queues[other])
            elif other is priority:
                ahead += sum(at <= deadline for at, _, _ in self.queues[other])
        blocked_seconds = max(0.0, self.blocked_until - now)
        free = self.slots - (0 if blocked_seconds else self.used_slots(now))
        turns = max(0, ahead + 1 - free)
        return blocked_seconds + turns * self.estimate.mean / max(1, self.slots)

    def can_finish(self, priority: Priority, deadline: Instant, now: Instant) -> bool:
        """Return whether an attempt is likely to end by its deadline.

        An idle queue accepts every attempt, whatever the estimate.
        """
        if not self.running and not self.queued_count and now >= self.blocked_until:
            return True
        wait = self.expected_wait_seconds(priority, deadline, now)
        return now + wait + self.estimate.upper_estimate <= deadline

    def push_attempt(self, attempt: DispatchAttempt) -> None:
        """Queue an attempt, ordered by deadline within its priority."""
        self.push_count += 1
        heapq.heappush(self.queues[attempt.priority], (attempt.deadline, self.push_count, attempt))

    def remove_attempt(self, attempt_id: AttemptId) -> DispatchAttempt | None:
        """Remove an attempt from the queue and return it, or None if it is not queued."""
        for queue in self.queues.values():
            for item in queue:
                if item[2].attempt_id == attempt_id:
                    queue.remove(item)
                    heapq.heapify(queue)
                    return item[2]
        return None

    def pop_all(self) -> list[DispatchAttempt]:
        """Remove and return all queued attempts."""
        attempts = [item[2] for queue in self.queues.values() for item in sorted(queue)]
        for queue in self.queues.values():
            queue.clear()
        return attempts

    def pop_expired(self, now: Instant) -> list[DispatchAttempt]:
        """Remove and return the attempts that could not end by their deadline if started now."""
        earliest_end = now if not self.running else now + self.estimate.mean
        expired: list[DispatchAttempt] = []
        for queue in self.queues.values():
            while queue and queue[0][0] <= earliest_end:
                expired.append(heapq.heappop(queue)[2])
        return expired

    def pop_next(self) -> DispatchAttempt | None:
        """Remove and return the attempt to start next, or None if the queue is empty.

        It has the highest priority with queued attempts, unless a lower priority has been skipped
        as often as allowed.
        """
        nonempty = [priority for priority in CLASSES if self.queues[priority]]
        if not nonempty:
            return None
        limits = {
            Priority.URGENT: self.settings.urgent_every - 1,
            Priority.ORDINARY: self.settings.ordinary_every - 1,
        }
        due = [p for p in nonempty if p in limits and self.skip_counts[p] >= limits[p]]
        chosen = due[-1] if due else nonempty[0]
        for priority in nonempty:
            self.skip_counts[priority] += 1
        self.skip_counts[chosen] = 0
        return heapq.heappop(self.queues[chosen])[2]

    def retry_after_seconds(self, now: Instant) -> float:
        """Return the expected time in seconds until a slot is free."""
        blocked_seconds = max(0.0, self.blocked_until - now)
        turns = (self.queued_count + 1) / max(1, self.slots)
        return max(MIN_RETRY_SECONDS, blocked_seconds + turns * self.estimate.mean)

    def next_deadline(self) -> Instant | None:
        """Return the earliest deadline of an attempt or release of a slot, or None."""
        queue_deadlines = [queue[0][0] for queue in self.queues.values() if queue]
        grace = self.settings.deadline_grace_seconds
        exchange_deadlines = [
            Instant(exchange.deadline + grace) for exchange in self.running.values()
        ]
        release_times = (
            [end for ends in self.handed_over_ends.values() for end in ends]
            if self.queued_count
            else []
        )
        if self.queued_count and self.blocked_until > 0:
            release_times.append(self.blocked_until)
        return min((*queue_deadlines, *exchange_deadlines, *release_times), default=None)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        return {
            "running": {name: exchange.deadline for name, exchange in self.running.items()},
            "queued": {priority.value: len(queue) for priority, queue in self.queues.items()},
            "slots": self.slots,
            "held_until": self.blocked_until,
            "holds": dict(self.handed_over_ends),
            "mean_seconds": self.estimate.mean,
        }
