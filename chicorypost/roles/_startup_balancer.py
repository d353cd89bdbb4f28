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
from chicorypost.daemons import EventDispatcher
from chicorypost.platform import NodeSettings, read_endpoint
from chicorypost.roles._balancer_core import BalancerCore
from chicorypost.roles._event_log import EventLog
from chicorypost.roles._events import ROUTING_APPLIED
from chicorypost.transport import FrameBuffer, encode_frame
from chicorypost.transport._events import PEER_CONNECTED, PEER_LOST

POLL_INTERVAL_SECONDS = 0.003
"""Least time between two looks at the sockets: each costs a system call."""
RECONNECT_DELAY_SECONDS = 0.1
"""Pause before a seed is dialled again: control instances start at the same time as this one."""
CONNECT_TIMEOUT_SECONDS = 0.7
"""How long a seed may take to accept; one without power never answers."""
RECEIVE_BUFFER_BYTES = 64 * 1024


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
        self.hello_frame = hello
        self.socket: socket.socket | None = None
        self.is_connected = False
        self.frame_buffer = FrameBuffer()
        self.send_buffer = b""
        self.next_connect_at = Instant(0.0)
        self.connect_deadline = Instant(0.0)

    def start_connecting(self, now: Instant) -> bool:
        """Begin to connect if it is time to; return whether a socket was opened."""
        if self.socket is not None or now < self.next_connect_at:
            return False
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        self.frame_buffer = FrameBuffer()
        self.send_buffer = self.hello_frame
        self.connect_deadline = Instant(now + CONNECT_TIMEOUT_SECONDS)
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
        self.is_connected = False
        self.next_connect_at = Instant(now + RECONNECT_DELAY_SECONDS)

    def queue_message(self, message: Message) -> None:
        """Queue a message; it leaves with the next `exchange`."""
        self.send_buffer += encode_frame(message)

    def send_and_receive(self) -> list[Message] | ConnectionLost:
        """Write what waits and read what has come.

        Returns
        -------
        list of Message or ConnectionLost
            What has come, or why the connection is of no more use.
        """
        assert self.socket is not None
        try:
            if self.send_buffer:
                self.send_buffer = self.send_buffer[self.socket.send(self.send_buffer) :]
            data = self.socket.recv(RECEIVE_BUFFER_BYTES)
        except BlockingIOError:
            return []
        except OSError as error:
            return ConnectionLost(repr(error))
        if not data:
            return ConnectionLost("closed by peer")
        self.frame_buffer.append_bytes(data)
        messages = []
        while (message := self.frame_buffer.pop_message()) is not None:
            if isinstance(message, Undecodable):
                return ConnectionLost(repr(message))
            messages.append(message)
        return messages


class StartupBalancer:
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
        journal: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.event_log = journal
        self.clock = clock
        self.core = BalancerCore(settings, journal)
        self.dispatcher = EventDispatcher(self._send, journal.emit, self._execute, clock)
        self.core.register_state_machines(self.dispatcher)
        self.connections = _make_seed_connections(settings, encode_frame(self.core.hello))
        self.poller = select.poll()
        self.poller.register(self.core.packet_socket, select.POLLIN)
        self.next_poll_at = clock()

    def run_once(self) -> None:
        """Do what can be done at once; never waits."""
        now = Instant(self.clock())
        if now < self.next_poll_at:
            return
        self._maintain_connections(now)
        self.dispatcher.tick()
        ready = dict(self.poller.poll(0))
        for connection in self.connections:
            if connection.socket is not None and ready.get(connection.socket.fileno()):
                self._serve_connection(connection, now)
        # Until it is known where packets go they wait in the socket: their clients would have to
        # repeat them.
        release_at = self.core.pacer.next_deadline()
        may_send = release_at is not None and release_at <= now
        if (
            self.core.packet_socket.fileno() in ready or may_send
        ) and not self.core.missing_prerequisite():
            self.core.forward_batch(self.dispatcher)
        self.next_poll_at = self.clock() + POLL_INTERVAL_SECONDS

    def hand_over_core(self) -> BalancerCore:
        """Close the connections and return the core, with what it knows."""
        now = Instant(self.clock())
        for connection in self.connections:
            self._disconnect(connection, now, "handed over")
        return self.core

    def _maintain_connections(self, now: Instant) -> None:
        for connection in self.connections:
            is_late = connection.socket is not None and not connection.is_connected
            if is_late and now >= connection.connect_deadline:
                self._disconnect(connection, now, "unreachable")
            if connection.start_connecting(now):
                assert connection.socket is not None
                self.poller.register(connection.socket, select.POLLIN | select.POLLOUT)

    def _serve_connection(self, connection: SeedConnection, now: Instant) -> None:
        assert connection.socket is not None
        if not connection.is_connected:
            if connection.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._disconnect(connection, now, "unreachable")
                return
            connection.is_connected = True
            self.event_log.emit(PEER_CONNECTED.emit(peer=connection.peer))
            self.dispatcher.post(PeerConnected(connection.peer))
        match connection.send_and_receive():
            case ConnectionLost(reason):
                self._disconnect(connection, now, reason)
                return
            case messages:
                for message in messages:
                    self.dispatcher.receive(connection.peer, message)
        waits = select.POLLIN | select.POLLOUT if connection.send_buffer else select.POLLIN
        self.poller.modify(connection.socket, waits)

    def _disconnect(self, connection: SeedConnection, now: Instant, reason: str) -> None:
        if connection.socket is None:
            return
        self.poller.unregister(connection.socket)
        was_connected = connection.is_connected
        connection.close(now)
        if was_connected:
            self.event_log.emit(PEER_LOST.emit(peer=connection.peer, reason=reason))
            self.dispatcher.post(PeerDisconnected(connection.peer))

    def _send(self, to: InstanceId, message: Message) -> None:
        for connection in self.connections:
            if connection.peer == to and connection.is_connected:
                connection.queue_message(message)

    def _execute(self, effect: Effect) -> None:
        match effect:
            case RoutingApplied(document):
                self.event_log.emit(ROUTING_APPLIED.emit(version=document.version))
            case Event():
                pass
            # The role follows the control instances that the view names; seeds do until then.
            case _:
                pass


def _make_seed_connections(settings: NodeSettings, hello: bytes) -> list[SeedConnection]:
    connections = []
    for seed in settings.seeds:
        try:
            host = read_endpoint(seed).host
        except ValueError:
            continue
        connections.append(SeedConnection(seed, (host, settings.peer_port), hello))
    return connections


class ImportHook:
    """Calls a function before each import of a module, within a ``with`` block.

    Parameters
    ----------
    pump : callable
        What to call; what it imports itself calls it no second time.
    """

    def __init__(self, pump: Callable[[], None]) -> None:
        self.callback = pump
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
                self.callback()
            finally:
                self.is_running = False
