"""Serving while the rest of the process is still being imported.

On a small machine most of a start goes into importing trio and the libraries that need it. What
decides and forwards needs neither, so it runs between the imports: it fetches configuration and
upstreams from the seeds over plain sockets and forwards packets as soon as it has them.
"""

import errno
import select
import socket
import sys
import time
from collections.abc import Callable, Sequence
from types import TracebackType

import msgspec

from chicorypost.announcements import PeerConnected, PeerDisconnected, RoutingApplied
from chicorypost.base import Effect, Event, InstanceId, Instant, Message, Undecodable
from chicorypost.daemons import Dispatcher
from chicorypost.platform import NodeSettings, read_endpoint
from chicorypost.roles._balancer_core import BalancerCore
from chicorypost.roles._events import ROUTING_APPLIED
from chicorypost.roles._journal import Journal
from chicorypost.transport import FrameBuffer, encode_frame
from chicorypost.transport._events import PEER_CONNECTED, PEER_LOST

PUMP_SECONDS = 0.003
"""Least time between two looks at the sockets: each costs a system call."""
REDIAL_SECONDS = 0.1
"""Pause before a seed is dialled again: control instances start at the same time as this one."""
DIAL_SECONDS = 0.7
"""How long a seed may take to accept; one without power never answers."""
RECEIVE_BYTES = 64 * 1024


class ConnectionLost(msgspec.Struct, frozen=True):
    """Why a connection is of no more use."""

    reason: str


class SeedConnection:
    """A connection to one control instance, over a socket that never blocks.

    Parameters
    ----------
    peer : InstanceId
        The control instance.
    address : tuple of str and int
        Where it takes connections of our processes.
    hello : bytes
        First frame to send.
    """

    def __init__(self, peer: InstanceId, address: tuple[str, int], hello: bytes) -> None:
        self.peer = peer
        self.address = address
        self.hello = hello
        self.socket: socket.socket | None = None
        self.connected = False
        self.frames = FrameBuffer()
        self.out = b""
        self.dial_at = Instant(0.0)
        self.dial_until = Instant(0.0)

    def dial(self, now: Instant) -> bool:
        """Begin to connect if it is time to; return whether a socket was opened."""
        if self.socket is not None or now < self.dial_at:
            return False
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        self.frames = FrameBuffer()
        self.out = self.hello
        self.dial_until = Instant(now + DIAL_SECONDS)
        status = self.socket.connect_ex(self.address)
        if status not in (0, errno.EINPROGRESS):
            self.close(now)
            return False
        return True

    def close(self, now: Instant) -> None:
        """Close the socket; it is dialled again later."""
        if self.socket is not None:
            self.socket.close()
        self.socket = None
        self.connected = False
        self.dial_at = Instant(now + REDIAL_SECONDS)

    def send(self, message: Message) -> None:
        """Queue a message; it leaves with the next `exchange`."""
        self.out += encode_frame(message)

    def exchange(self) -> list[Message] | ConnectionLost:
        """Write what waits and read what has come.

        Returns
        -------
        list of Message or ConnectionLost
            What has come, or why the connection is of no more use.
        """
        assert self.socket is not None
        try:
            if self.out:
                self.out = self.out[self.socket.send(self.out) :]
            data = self.socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return []
        except OSError as error:
            return ConnectionLost(repr(error))
        if not data:
            return ConnectionLost("closed by peer")
        self.frames.append_bytes(data)
        messages = []
        while (message := self.frames.pop_message()) is not None:
            if isinstance(message, Undecodable):
                return ConnectionLost(repr(message))
            messages.append(message)
        return messages


class EarlyBalancer:
    """A balancer without a loop: whoever calls `pump` now and then makes it serve.

    Parameters
    ----------
    settings : NodeSettings
        Settings of this process.
    journal : Journal
        Takes log events.
    clock : callable
        The steady clock, in seconds; the one by which the role goes on.
    """

    def __init__(
        self,
        settings: NodeSettings,
        journal: Journal,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.journal = journal
        self.clock = clock
        self.core = BalancerCore(settings, journal)
        self.dispatcher = Dispatcher(self._send, journal.emit, self._execute, clock)
        self.core.add_to(self.dispatcher)
        self.connections = _connect_seeds(settings, encode_frame(self.core.hello))
        self.poll = select.poll()
        self.poll.register(self.core.socket, select.POLLIN)
        self.pump_at = clock()

    def pump(self) -> None:
        """Do what can be done at once; never waits."""
        now = Instant(self.clock())
        if now < self.pump_at:
            return
        self._dial(now)
        self.dispatcher.tick()
        ready = dict(self.poll.poll(0))
        for connection in self.connections:
            if connection.socket is not None and ready.get(connection.socket.fileno()):
                self._serve(connection, now)
        # Until it is known where packets go they wait in the socket: their clients would have to
        # repeat them.
        release_at = self.core.pacer.next_deadline()
        may_send = release_at is not None and release_at <= now
        if (self.core.socket.fileno() in ready or may_send) and not self.core.lacks():
            self.core.forward_batch(self.dispatcher)
        self.pump_at = self.clock() + PUMP_SECONDS

    def hand_over(self) -> BalancerCore:
        """Close the connections and return the core, with what it knows."""
        now = Instant(self.clock())
        for connection in self.connections:
            self._lose(connection, now, "handed over")
        return self.core

    def _dial(self, now: Instant) -> None:
        for connection in self.connections:
            is_late = connection.socket is not None and not connection.connected
            if is_late and now >= connection.dial_until:
                self._lose(connection, now, "unreachable")
            if connection.dial(now):
                assert connection.socket is not None
                self.poll.register(connection.socket, select.POLLIN | select.POLLOUT)

    def _serve(self, connection: SeedConnection, now: Instant) -> None:
        assert connection.socket is not None
        if not connection.connected:
            if connection.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._lose(connection, now, "unreachable")
                return
            connection.connected = True
            self.journal.emit(PEER_CONNECTED.emit(peer=connection.peer))
            self.dispatcher.post(PeerConnected(connection.peer))
        match connection.exchange():
            case ConnectionLost(reason):
                self._lose(connection, now, reason)
                return
            case messages:
                for message in messages:
                    self.dispatcher.receive(connection.peer, message)
        waits = select.POLLIN | select.POLLOUT if connection.out else select.POLLIN
        self.poll.modify(connection.socket, waits)

    def _lose(self, connection: SeedConnection, now: Instant, reason: str) -> None:
        if connection.socket is None:
            return
        self.poll.unregister(connection.socket)
        was_connected = connection.connected
        connection.close(now)
        if was_connected:
            self.journal.emit(PEER_LOST.emit(peer=connection.peer, reason=reason))
            self.dispatcher.post(PeerDisconnected(connection.peer))

    def _send(self, to: InstanceId, message: Message) -> None:
        for connection in self.connections:
            if connection.peer == to and connection.connected:
                connection.send(message)

    def _execute(self, effect: Effect) -> None:
        match effect:
            case RoutingApplied(document):
                self.journal.emit(ROUTING_APPLIED.emit(version=document.version))
            case Event():
                pass
            # The role follows the control instances that the view names; seeds do until then.
            case _:
                pass


def _connect_seeds(settings: NodeSettings, hello: bytes) -> list[SeedConnection]:
    connections = []
    for seed in settings.seeds:
        try:
            host = read_endpoint(seed).host
        except ValueError:
            continue
        connections.append(SeedConnection(seed, (host, settings.peer_port), hello))
    return connections


class ImportPump:
    """Calls a function before each import of a module, within a ``with`` block.

    Parameters
    ----------
    pump : callable
        What to call; what it imports itself calls it no second time.
    """

    def __init__(self, pump: Callable[[], None]) -> None:
        self.pump = pump
        self.is_running = False

    def __enter__(self) -> "ImportPump":
        sys.meta_path.insert(0, self)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        sys.meta_path.remove(self)

    def find_spec(self, name: str, path: Sequence[str] | None, target: object = None) -> None:
        """Find nothing: the other finders are asked next."""
        if not self.is_running:
            self.is_running = True
            try:
                self.pump()
            finally:
                self.is_running = False
