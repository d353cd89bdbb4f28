"""Forwarding of packets while the process is still importing modules.

On a small machine most of the start-up time is spent importing trio and the libraries that depend
on it. Routing and forwarding need neither, so they run between the imports: the balancer fetches
the configuration and the upstreams from the seeds over plain sockets and forwards packets as soon
as it has both.
"""

import errno
import select
import socket
import sys
import time
from collections.abc import Callable, Sequence
from types import TracebackType

import msgspec

from chicorypost.announcements import PeerConnected, PeerDisconnected
from chicorypost.base import Effect, InstanceId, Instant, Message, Undecodable
from chicorypost.cookies import ResetStalledFlow
from chicorypost.daemons import EventDispatcher
from chicorypost.platform import NodeSettings, read_endpoint
from chicorypost.roles._balancer_core import BalancerCore
from chicorypost.roles._event_log import EventLog
from chicorypost.transport import FrameBuffer, encode_frame
from chicorypost.transport._events import PEER_CONNECTED, PEER_LOST

POLL_INTERVAL_SECONDS = 0.003
"""Minimum time between two polls of the sockets; each poll costs a system call."""
RECONNECT_DELAY_SECONDS = 0.05
"""Pause before reconnecting to a seed; control instances may start at the same time as this one."""
CONNECT_TIMEOUT_STEP_SECONDS = 0.1
"""Timeout of the first connection attempt, and by how much that of each further one is longer. A
seed that had no power when an attempt began doesn't answer it later, and after a loss of power
everywhere it may have started meanwhile; a distant seed is reached by a longer attempt."""
MAX_CONNECT_TIMEOUT_SECONDS = 0.7
RECEIVE_BUFFER_BYTES = 64 * 1024


class ConnectionLost(msgspec.Struct, frozen=True):
    """Why a connection has failed."""

    reason: str


class SeedConnection:
    """Connection to one control instance over a non-blocking socket.

    Parameters
    ----------
    peer : InstanceId
        Id of the control instance.
    address : tuple of str and int
        Host and port at which it accepts connections from other processes of the system.
    hello_frame : bytes
        First frame to send.
    """

    def __init__(self, peer: InstanceId, address: tuple[str, int], hello_frame: bytes) -> None:
        self.peer = peer
        self.address = address
        self.hello_frame = hello_frame
        self.socket: socket.socket | None = None
        self.is_connected = False
        self.frame_buffer = FrameBuffer()
        self.send_buffer = b""
        self.next_connect_at = Instant(0.0)
        self.connect_deadline = Instant(0.0)
        self.connect_attempts = 0

    def start_connecting(self, now: Instant) -> bool:
        """Start connecting if a connection attempt is due; return whether a socket was opened."""
        if self.socket is not None or now < self.next_connect_at:
            return False
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        self.frame_buffer = FrameBuffer()
        self.send_buffer = self.hello_frame
        self.connect_attempts += 1
        timeout = CONNECT_TIMEOUT_STEP_SECONDS * self.connect_attempts
        self.connect_deadline = Instant(now + min(timeout, MAX_CONNECT_TIMEOUT_SECONDS))
        status = self.socket.connect_ex(self.address)
        if status not in (0, errno.EINPROGRESS):
            self.close(now)
            return False
        return True

    def close(self, now: Instant) -> None:
        """Close the socket and schedule the next connection attempt."""
        if self.socket is not None:
            self.socket.close()
        self.socket = None
        self.is_connected = False
        self.next_connect_at = Instant(now + RECONNECT_DELAY_SECONDS)

    def queue_message(self, message: Message) -> None:
        """Queue a message to be sent by the next `send_and_receive`."""
        self.send_buffer += encode_frame(message)

    def send_and_receive(self) -> list[Message] | ConnectionLost:
        """Send queued data and receive messages, without blocking.

        Returns
        -------
        list of Message or ConnectionLost
            The received messages, or why the connection has failed.
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
    """A balancer without an event loop, which serves by frequent calls of `run_once`.

    Parameters
    ----------
    settings : NodeSettings
        Settings of this process.
    event_log : EventLog
        Receives log events.
    clock : callable
        Monotonic clock in seconds; the role continues on the same clock.
    """

    def __init__(
        self,
        settings: NodeSettings,
        event_log: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.event_log = event_log
        self.clock = clock
        self.core = BalancerCore(settings, event_log)
        self.dispatcher = EventDispatcher(self._send, event_log.emit, self._execute, clock)
        self.core.register_state_machines(self.dispatcher)
        self.connections = _make_seed_connections(settings, encode_frame(self.core.hello))
        self.poller = select.poll()
        self.poller.register(self.core.packet_socket, select.POLLIN)
        self.next_poll_at = clock()

    def run_once(self) -> None:
        """Exchange messages with the seeds and forward packets, without blocking."""
        now = Instant(self.clock())
        if now < self.next_poll_at:
            return
        self._maintain_connections(now)
        self.dispatcher.tick()
        ready = dict(self.poller.poll(0))
        for connection in self.connections:
            if connection.socket is not None and ready.get(connection.socket.fileno()):
                self._serve_connection(connection, now)
        # Before the configuration and the upstreams are known, packets stay in the socket buffer:
        # the clients would have to retransmit dropped packets.
        next_send_at = self.core.pacer.next_deadline()
        is_send_due = next_send_at is not None and next_send_at <= now
        if (
            self.core.packet_socket.fileno() in ready or is_send_due
        ) and not self.core.missing_prerequisite():
            self.core.forward_batch(self.dispatcher)
        self.next_poll_at = self.clock() + POLL_INTERVAL_SECONDS

    def hand_over_core(self) -> BalancerCore:
        """Close the connections and return the core with its current state."""
        now = Instant(self.clock())
        for connection in self.connections:
            self._disconnect(connection, now, "handed over")
        return self.core

    def _maintain_connections(self, now: Instant) -> None:
        for connection in self.connections:
            is_connecting = connection.socket is not None and not connection.is_connected
            if is_connecting and now >= connection.connect_deadline:
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
            connection.connect_attempts = 0
            self.event_log.emit(PEER_CONNECTED.emit(peer=connection.peer))
            self.dispatcher.post(PeerConnected(connection.peer))
        match connection.send_and_receive():
            case ConnectionLost(reason):
                self._disconnect(connection, now, reason)
                return
            case messages:
                for message in messages:
                    self.dispatcher.receive(connection.peer, message)
        event_mask = select.POLLIN | select.POLLOUT if connection.send_buffer else select.POLLIN
        self.poller.modify(connection.socket, event_mask)

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
        # Only the role connects to all control instances of the view; here the seeds suffice.
        match effect:
            case ResetStalledFlow():
                self.core.forwarder.reset_stalled_flow(effect)
            case _:
                self.core.log_applied(effect)


def _make_seed_connections(settings: NodeSettings, hello_frame: bytes) -> list[SeedConnection]:
    connections = []
    for seed in settings.seeds:
        try:
            host = read_endpoint(seed).host
        except ValueError:
            continue
        connections.append(SeedConnection(seed, (host, settings.peer_port), hello_frame))
    return connections


class ImportHook:
    """Context manager that calls a function before each import of a module.

    Parameters
    ----------
    callback : callable
        Function to call; imports that it makes itself don't call it again.
    """

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback = callback
        self.is_running = False

    def __enter__(self) -> "ImportHook":
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
        """Run the callback and return None, so that the import system tries the other finders."""
        if not self.is_running:
            self.is_running = True
            try:
                self.callback()
            finally:
                self.is_running = False
