"""Queue, slots and duration estimate of one upstream at its dispatcher."""

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
    """One attempt that waits or runs."""

    attempt_id: AttemptId
    entry: InstanceId
    priority: Priority
    deadline: Instant
    request: HttpRequest


@dataclass(frozen=True, slots=True)
class RunningExchange:
    """An attempt at the upstream."""

    attempt: DispatchAttempt
    upstream: Upstream
    deadline: Instant
    started: Instant


class DurationEstimate:
    """Moving mean and deviation of the duration of exchanges."""

    def __init__(self, initial_seconds: float) -> None:
        self.mean = initial_seconds
        self.deviation = initial_seconds / 2

    def add_sample(self, seconds: float) -> None:
        """Take one duration."""
        error = seconds - self.mean
        self.mean += MEAN_SMOOTHING * error
        self.deviation += DEVIATION_SMOOTHING * (abs(error) - self.deviation)

    @property
    def upper_estimate(self) -> float:
        """A duration that most exchanges don't exceed."""
        return self.mean + self.deviation


@dataclass(slots=True)
class UpstreamQueue:
    """What waits for and what fills the slots of one upstream.

    `holds` are the ends of exchanges that another dispatcher may have started; until `held_until`
    every slot may be filled by such.
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
        """How many attempts wait."""
        return sum(map(len, self.queues.values()))

    def used_slots(self, now: Instant) -> int:
        """Return how many slots may be filled."""
        if now < self.blocked_until:
            return self.slots
        incarnation = self.upstream.incarnation
        own = sum(r.upstream.incarnation == incarnation for r in self.running.values())
        held = sum(end > now for ends in self.handed_over_ends.values() for end in ends)
        return own + held

    def apply_limits(self, document: ConfigurationDocument) -> None:
        """Follow the limits of the configuration."""
        self.slots = effective_slots(document, self.upstream)
        default = self.settings.default_queue_length
        self.queue_length = effective_queue_length(document, self.upstream, default)

    def start_attempts(self, now: Instant) -> list[RunningExchange]:
        """Fill the free slots from the queue and return what is to be started."""
        started: list[RunningExchange] = []
        while self.used_slots(now) < self.slots:
            waiting = self.pop_next()
            if waiting is None:
                break
            latest = Instant(now + self.settings.max_exchange_seconds)
            run = RunningExchange(waiting, self.upstream, min(waiting.deadline, latest), now)
            self.running[waiting.attempt_id] = run
            started.append(run)
        return started

    def release_expired_slots(self, now: Instant) -> None:
        """Drop what another dispatcher may have run and can't run any more."""
        if self.blocked_until <= now:
            self.blocked_until = Instant(0.0)
        for source, ends in list(self.handed_over_ends.items()):
            self.handed_over_ends[source] = [end for end in ends if end > now]
            if not self.handed_over_ends[source]:
                del self.handed_over_ends[source]

    def has_room(self, priority: Priority) -> bool:
        """Return whether a class may queue one more attempt."""
        share = self.settings.queue_share
        length = len(self.queues[priority])
        if length >= max(1, int(self.queue_length * share)):
            return False
        reserved = max(1, int(self.queue_length * (1 - share) / 2))
        return self.queued_count < self.queue_length or length < reserved

    def expected_wait_seconds(self, priority: Priority, deadline: Instant, now: Instant) -> float:
        """Return for how long an attempt would wait before it starts."""
        ahead = 0
        for other in CLASSES:
            if CLASSES.index(other) < CLASSES.index(priority):
                ahead += len(self.queues[other])
            elif other is priority:
                ahead += sum(at <= deadline for at, _, _ in self.queues[other])
        held = max(0.0, self.blocked_until - now)
        free = self.slots - (0 if held else self.used_slots(now))
        turns = max(0, ahead + 1 - free)
        return held + turns * self.estimate.mean / max(1, self.slots)

    def can_finish(self, priority: Priority, deadline: Instant, now: Instant) -> bool:
        """Return whether an attempt would likely end by its deadline; an idle lane always tries."""
        if not self.running and not self.queued_count and now >= self.blocked_until:
            return True
        wait = self.expected_wait_seconds(priority, deadline, now)
        return now + wait + self.estimate.upper_estimate <= deadline

    def push_attempt(self, attempt: DispatchAttempt) -> None:
        """Queue an attempt by its deadline within its class."""
        self.push_count += 1
        heapq.heappush(self.queues[attempt.priority], (attempt.deadline, self.push_count, attempt))

    def remove_attempt(self, attempt: AttemptId) -> DispatchAttempt | None:
        """Take an attempt out of the queue."""
        for queue in self.queues.values():
            for item in queue:
                if item[2].attempt_id == attempt:
                    queue.remove(item)
                    heapq.heapify(queue)
                    return item[2]
        return None

    def pop_all(self) -> list[DispatchAttempt]:
        """Empty the queue."""
        waiting = [item[2] for queue in self.queues.values() for item in sorted(queue)]
        for queue in self.queues.values():
            queue.clear()
        return waiting

    def pop_expired(self, now: Instant) -> list[DispatchAttempt]:
        """Take out what can't end by its deadline even if it started now."""
        least = now if not self.running else now + self.estimate.mean
        expired: list[DispatchAttempt] = []
        for queue in self.queues.values():
            while queue and queue[0][0] <= least:
                expired.append(heapq.heappop(queue)[2])
        return expired

    def pop_next(self) -> DispatchAttempt | None:
        """Take out the attempt to start next.

        The first class that waits goes first, unless a lower one was passed over too often.
        """
        waiting = [priority for priority in CLASSES if self.queues[priority]]
        if not waiting:
            return None
        limits = {
            Priority.URGENT: self.settings.urgent_every - 1,
            Priority.ORDINARY: self.settings.ordinary_every - 1,
        }
        due = [p for p in waiting if p in limits and self.skip_counts[p] >= limits[p]]
        chosen = due[-1] if due else waiting[0]
        for priority in waiting:
            self.skip_counts[priority] += 1
        self.skip_counts[chosen] = 0
        return heapq.heappop(self.queues[chosen])[2]

    def retry_after_seconds(self, now: Instant) -> float:
        """Return after how many seconds a slot is likely to be free."""
        held = max(0.0, self.blocked_until - now)
        turns = (self.queued_count + 1) / max(1, self.slots)
        return max(MIN_RETRY_SECONDS, held + turns * self.estimate.mean)

    def next_deadline(self) -> Instant | None:
        """Return when a queued or running attempt runs out, or a held slot may be free."""
        waiting = [queue[0][0] for queue in self.queues.values() if queue]
        grace = self.settings.deadline_grace_seconds
        running = [Instant(run.deadline + grace) for run in self.running.values()]
        held = (
            [end for ends in self.handed_over_ends.values() for end in ends]
            if self.queued_count
            else []
        )
        if self.queued_count and self.blocked_until > 0:
            held.append(self.blocked_until)
        return min((*waiting, *running, *held), default=None)

    def dump(self) -> dict[str, Any]:
        """Return the state as values that JSON can hold."""
        return {
            "running": {name: run.deadline for name, run in self.running.items()},
            "queued": {priority.value: len(queue) for priority, queue in self.queues.items()},
            "slots": self.slots,
            "held_until": self.blocked_until,
            "holds": dict(self.handed_over_ends),
            "mean_seconds": self.estimate.mean,
        }
