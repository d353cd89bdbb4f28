"""What both roles share: logs and the settings of connections between processes."""

import time
from collections.abc import Callable
from functools import partial

from chicorypost.announcements import PeerGone, PeerReached
from chicorypost.base import Endpoint, Incarnation, InstanceId
from chicorypost.daemons import Engine
from chicorypost.events import Emit, EventSpec, LineLimiter, LogBudget, log_event
from chicorypost.platform import NodeSettings, read_endpoint
from chicorypost.transport import Hello, PeerNetwork, TlsContexts, TlsSettings, TransportSettings

HEARTBEAT_SECONDS = 0.5
"""Heartbeat interval on connections between our processes: three are lost before one is given
up."""
SILENCE_SECONDS = 1.6
"""Half of the time in which a change has to reach every balancer."""
DIAL_SECONDS = 0.7
REDIAL_SECONDS = 0.2


class Journal:
    """Counts log events and writes them within the budget.

    Parameters
    ----------
    write : callable, optional
        Writes one event.
    clock : callable, optional
        A steady clock in seconds.
    """

    def __init__(
        self,
        write: Callable[[Emit], None] = log_event,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.write = write
        self.clock = clock
        self.limiter = LineLimiter(LogBudget(), clock())
        self.counts: dict[EventSpec, int] = {}

    def counts_by_name(self) -> dict[str, int]:
        """Return how often each event has occurred, by its name."""
        return {spec.name: count for spec, count in self.counts.items()}

    def emit(self, event: Emit) -> None:
        """Count an event, and write it if the budget allows."""
        self.counts[event.spec] = self.counts.get(event.spec, 0) + 1
        now = self.clock()
        for report in self.limiter.report(now):
            self.write(report)
        if self.limiter.allow(event.spec.name, now):
            self.write(event)


def make_network(
    settings: NodeSettings, instance: InstanceId, port: int, engine: Engine, journal: Journal
) -> PeerNetwork:
    """Return the connections of a role, which tell its machines when they open and end.

    Parameters
    ----------
    settings : NodeSettings
        Settings of this process.
    instance : InstanceId
        This process.
    port : int
        Where it takes connections of peers, or `NOT_LISTENING`.
    engine : Engine
        Runs its machines.
    journal : Journal
        Takes log events.
    """
    incarnation = Incarnation(time.time_ns() // 1_000_000)
    return PeerNetwork(
        TransportSettings(
            heartbeat_seconds=HEARTBEAT_SECONDS,
            silence_seconds=SILENCE_SECONDS,
            dial_seconds=DIAL_SECONDS,
            redial_seconds=REDIAL_SECONDS,
        ),
        Hello(instance, incarnation, settings.data_centre, Endpoint(settings.host, port)),
        TlsContexts(TlsSettings(off=True), journal.emit),
        engine.receive,
        journal.emit,
        resolve=partial(resolve_control, port=settings.peer_port),
        on_connected=lambda peer: engine.post(PeerReached(peer)),
        on_lost=lambda peer: engine.post(PeerGone(peer)),
    )


def resolve_control(instance: InstanceId, port: int) -> Endpoint | None:
    """Return where a control instance takes connections of our processes.

    Control instances are named by the endpoint at which operators call them.
    """
    try:
        return Endpoint(read_endpoint(instance).host, port)
    except ValueError:
        return None
