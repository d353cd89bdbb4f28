"""TCP listeners of the daemons."""

import trio

from chicorypost.base import Endpoint
from chicorypost.daemons._settings import parse_endpoint


async def open_listener(text: str) -> trio.SocketListener:
    """Open a listener on ``host:port``; with port 0 the kernel chooses a free port.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    endpoint = parse_endpoint(text)
    listeners = await trio.open_tcp_listeners(endpoint.port, host=endpoint.host)
    return listeners[0]


def get_bound_endpoint(listener: trio.SocketListener) -> Endpoint:
    """Return the endpoint to which a listener is bound."""
    host, port = listener.socket.getsockname()[:2]
    return Endpoint(host, port)
