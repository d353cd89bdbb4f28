"""Admin listener of a role: metrics and state dump for operators on the machine's network."""

from collections.abc import Callable, Mapping
from typing import Any

import trio

from chicorypost.events import Emit
from chicorypost.metrics import PlainMetrics
from chicorypost.roles._events import ADMIN_NOT_LISTENING

ADMIN_PORT = 9102
"""Port of the admin listener on every machine; `metrics` in deploy/system.toml has the same."""


async def serve_admin(
    host: str,
    metrics: PlainMetrics,
    dump: Callable[[], dict[str, Any]],
    unready_reason: Callable[[], str],
    emit: Callable[[Emit], None],
    explain_route: Callable[[Mapping[str, str]], Any] | None = None,
) -> None:
    """Serve live, ready, dump and metrics until cancelled; return if the port is in use.

    A balancer also serves route, which explains where an opening would go.
    """
    from chicorypost.daemons._admin import AdminEndpoints
    from chicorypost.transport import HttpServer, HttpSettings

    endpoints = AdminEndpoints(metrics, dump, unready_reason, explain_route)
    server = HttpServer("admin", HttpSettings(connections=8), endpoints.handle, emit)
    try:
        listeners = await trio.open_tcp_listeners(ADMIN_PORT, host=host)
    except OSError as error:
        emit(ADMIN_NOT_LISTENING.emit(port=ADMIN_PORT, reason=str(error)))
        return
    await trio.serve_listeners(server.serve_connection, listeners)
