"""Listening sockets of the daemons."""

import trio

from chicorypost.base import Endpoint
from chicorypost.daemons._settings import parse_endpoint


async def open_listener(text: str) -> trio.SocketListener:
    """Listen on ``host:port``; port 0 lets the kernel choose.

    Raises
    ------
    OSError
        If the address can't be used.
    """
    endpoint = parse_endpoint(text)
    listeners = await trio.open_tcp_listeners(endpoint.port, host=endpoint.host)
    return listeners[0]


def get_bound_endpoint(listener: trio.SocketListener) -> Endpoint:
    """Return where a listener is bound."""
    host, port = listener.socket.getsockname()[:2]
    return Endpoint(host, port)
