"""The admin listener of a role: metrics and state dump, for operators on the machine's network."""

from collections.abc import Callable
from typing import Any

import trio

from chicorypost.events import Emit
from chicorypost.metrics import PlainMetrics
from chicorypost.roles._events import ADMIN_NOT_LISTENING

ADMIN_PORT = 9102
"""Port of the admin listener on every machine, named by `metrics` in deploy/system.toml."""


async def serve_admin(
    host: str,
    metrics: PlainMetrics,
    dump: Callable[[], dict[str, Any]],
    not_ready: Callable[[], str],
    emit: Callable[[Emit], None],
) -> None:
    """Serve live, ready, dump and metrics until cancelled; a port that is taken ends nothing."""
    from chicorypost.daemons._admin import AdminEndpoints
    from chicorypost.transport import HttpServer, HttpSettings

    endpoints = AdminEndpoints(metrics, dump, not_ready)
    server = HttpServer("admin", HttpSettings(connections=8), endpoints.handle, emit)
    try:
        listeners = await trio.open_tcp_listeners(ADMIN_PORT, host=host)
    except OSError as error:
        emit(ADMIN_NOT_LISTENING.emit(port=ADMIN_PORT, reason=str(error)))
        return
    await trio.serve_listeners(server.serve_connection, listeners)
