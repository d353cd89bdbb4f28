"""Shared observations in the load simulation: real observers and a real judge, without a network.

All balancers report to the same control instances, so the judge of one stands for all of them.
"""

from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

import msgspec

from chicorypost.announcements import FeedPage, Judgement, JudgementsChanged, PeerConnected
from chicorypost.announcements._table import AnnouncementTable
from chicorypost.base import (
    Effect,
    InstanceId,
    Instant,
    Message,
    Received,
    Send,
    Tick,
    UpstreamId,
    Version,
)
from chicorypost.cookies._observer import UpstreamObserver
from chicorypost.observations import ObservationJudge, ObservationSettings
from chicorypost.transport import encode_frame

if TYPE_CHECKING:
    from benchmarks.load_model.model import LoadModel

ONE_WAY_SECONDS = 0.02
"""Latency between a balancer and a control instance of another data centre."""
STEP_SECONDS = 0.05
CONTROLS = [InstanceId(f"10.9.0.{number}:80") for number in range(1, 9)]
HEADER_BYTES = 40
"""Headers of IP and TCP; each message is counted as one packet."""


class SharedObservations:
    """Observers of all balancers of a simulation, and the judge that they report to.

    Parameters
    ----------
    model : LoadModel
        The simulation, whose routers have shared observations enabled.
    settings : ObservationSettings, optional
        Limits and intervals.
    """

    def __init__(self, model: "LoadModel", settings: ObservationSettings | None = None) -> None:
        self.model = model
        self.settings = settings or ObservationSettings()
        self.table = AnnouncementTable()
        self.judge = ObservationJudge(self.settings, self.table, Instant(0.0))
        self.observers = [self._make_observer(number) for number in range(len(model.routers))]
        self.report_bytes: Counter[tuple[int, int]] = Counter()
        """Bytes of reports by balancer and second."""
        self.reports_by_second: Counter[int] = Counter()
        """Bytes of reports to one control instance by second."""
        self.page_bytes: Counter[int] = Counter()
        """Bytes of pages from one control instance to one balancer by second."""
        self.judged: set[str] = set()
        """Upstreams that were ever judged."""

    def _make_observer(self, number: int) -> UpstreamObserver:
        router = self.model.routers[number]
        assert router.judged_upstreams is not None
        # Balancers don't check in step.
        started_at = Instant(-self.settings.check_seconds * self.model.random.random())
        observer = UpstreamObserver(self.settings, router, router.judged_upstreams, 1, started_at)
        for control in CONTROLS:
            observer.handle(PeerConnected(control), Instant(0.0))
        return observer

    def start(self) -> None:
        """Start the timers of the observers and of the judge."""
        self._tick()

    def _tick(self) -> None:
        now = Instant(self.model.now)
        for upstream in self.model.upstreams:
            self.table.record_announcement(self.model.make_announcement(upstream), now)
            self.table.entries[upstream.name].is_silent = upstream.is_silent
        for number, observer in enumerate(self.observers):
            deadline = observer.next_deadline()
            if deadline is not None and deadline <= now:
                for effect in observer.handle(Tick(), now):
                    self._deliver_report(number, effect)
        deadline = self.judge.next_deadline()
        if deadline is not None and deadline <= now:
            for effect in self.judge.handle(Tick(), now):
                self._deliver_judgements(effect)
        if self.model.now < self.model.settings.seconds:
            self.model.schedule(STEP_SECONDS, self._tick)

    def _deliver_report(self, number: int, effect: Effect) -> None:
        if not isinstance(effect, Send):
            return
        size, second = len(encode_frame(effect.message)) + HEADER_BYTES, int(self.model.now)
        self.report_bytes[number, second] += size
        if effect.to == CONTROLS[0]:
            self.reports_by_second[second] += size
            receive = partial(self._receive_report, InstanceId(f"b{number}"), effect.message)
            self.model.schedule(ONE_WAY_SECONDS, receive)

    def _receive_report(self, sender: InstanceId, message: Message) -> None:
        self.judge.handle(Received(sender, message), Instant(self.model.now))

    def _deliver_judgements(self, effect: Effect) -> None:
        if isinstance(effect, JudgementsChanged):
            judgements = {
                name: item.judgement if item is not None else None
                for name, item in effect.judgements.items()
            }
            self.judged |= judgements.keys()
            self.page_bytes[int(self.model.now)] += self._measure_page(judgements)
            apply = partial(self.model.apply_judgements, judgements)
            self.model.schedule(ONE_WAY_SECONDS, apply)

    def _measure_page(self, judgements: dict[UpstreamId, Judgement | None]) -> int:
        listed = tuple(
            msgspec.structs.replace(item, judgement=judgements[item.announcement.upstream])
            for item in self.table.list_upstreams(Instant(self.model.now), judgements)
        )
        page = FeedPage(2**47, 100, False, True, listed, tuple(CONTROLS), Version(1), 99)
        return len(encode_frame(page)) + HEADER_BYTES
