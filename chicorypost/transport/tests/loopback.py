"""Loopback scenarios that the tests of peer connections and HTTP share."""

import trio
import trio.testing

from chicorypost.base import Endpoint


def endpoint_of(listener) -> Endpoint:
    host, port = listener.socket.getsockname()[:2]
    return Endpoint(host, port)


def run(function):
    async def bounded():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                await function(nursery)
                nursery.cancel_scope.cancel()

    trio.run(bounded)
