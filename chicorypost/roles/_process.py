"""What both roles share: logs and the settings of connections between processes."""

from collections.abc import Callable

from chicorypost.base import Endpoint, InstanceId
from chicorypost.events import Emit, log_event
from chicorypost.platform import read_endpoint
from chicorypost.transport import TransportSettings

HEARTBEAT_SECONDS = 0.5
"""Heartbeat interval on connections between our processes: three are lost before one is given
up."""
SILENCE_SECONDS = 1.6
"""Half of the time in which a change has to reach every balancer."""
DIAL_SECONDS = 0.7
REDIAL_SECONDS = 0.2


class Journal:
    """Writes and counts log events.

    Parameters
    ----------
    write : callable, optional
        Writes one event.
    """

    def __init__(self, write: Callable[[Emit], None] = log_event) -> None:
        self.write = write
        self.counts: dict[str, int] = {}

    def emit(self, event: Emit) -> None:
        """Log and count an event."""
        name = event.spec.name
        self.counts[name] = self.counts.get(name, 0) + 1
        self.write(event)


def network_settings() -> TransportSettings:
    """Return the settings of connections between our processes."""
    return TransportSettings(
        heartbeat_seconds=HEARTBEAT_SECONDS,
        silence_seconds=SILENCE_SECONDS,
        dial_seconds=DIAL_SECONDS,
        redial_seconds=REDIAL_SECONDS,
    )


def resolve_control(instance: InstanceId, port: int) -> Endpoint | None:
    """Return where a control instance takes connections of our processes.

    Control instances are named by the endpoint at which operators call them.
    """
    try:
        return Endpoint(read_endpoint(instance).host, port)
    except ValueError:
        return None
