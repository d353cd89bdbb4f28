"""Connections between instances: one dialled connection per peer, checked by heartbeats."""

import contextlib
import select
from collections.abc import Callable

import msgspec
import trio

from chicorypost.base import Endpoint, InstanceId, Message, Undecodable
from chicorypost.events import Emit
from chicorypost.transport._events import (
    CONNECTIONS_FULL,
    FRAME_REFUSED,
    PEER_CONNECTED,
    PEER_LOST,
    QUEUE_FULL,
    UNEXPECTED_ERROR,
)
from chicorypost.transport._frame_buffer import encode_frame
from chicorypost.transport._frames import EndOfStream, FrameReader
from chicorypost.transport._messages import (
    NOT_LISTENING_PORT,
    ConnectionHello,
    Heartbeat,
    HeartbeatReply,
)
from chicorypost.transport._settings import TransportSettings
from chicorypost.transport._tls import TlsContexts, certificate_names

MAX_INSTANCE_CHARACTERS = 255
MAX_PORT = 65_535

MessageHandler = Callable[[InstanceId, Message], None]


def _ignore_instance(instance: InstanceId) -> None:
    return None


def _resolve_nothing(instance: InstanceId) -> Endpoint | None:
    return None


class PeerLink(msgspec.Struct):
    """Send queue and connection state of one peer."""

    peer: InstanceId
    send_channel: trio.MemorySendChannel[Message]
    receive_channel: trio.MemoryReceiveChannel[Message]
    is_connected: bool = False
    dial_attempts: int = 0
    """Attempts to open a connection since the last one that was open."""
    sent_messages: int = 0
    sent_bytes: int = 0
    dropped_messages: int = 0
    cancel_scope: trio.CancelScope = msgspec.field(default_factory=trio.CancelScope)
    """Cancels the task that maintains the connection; unused for a peer that only dials."""

    def enqueue(self, message: Message) -> bool:
        """Queue a message; drop it and return False if the queue is full."""
        try:
            self.send_channel.send_nowait(message)
        except trio.WouldBlock:
            self.dropped_messages += 1
            return False
        return True


class PeerNetwork(msgspec.Struct):
    """Sends messages to instances by id and passes received messages to a callback.

    Delivery is not reliable: messages are dropped if a peer is unreachable or its queue is full.
    State machines resend messages that have to arrive. A peer whose hello has port 0 doesn't
    listen; messages to it are sent on the connection that it has opened.

    Parameters
    ----------
    settings : TransportSettings
        Intervals, timeouts and limits.
    hello : ConnectionHello
        First message that this process sends on each connection that it dials.
    tls : TlsContexts
        Contexts of dialled and accepted connections.
    on_message : callable
        Called in the event loop with the sender and each received message.
    emit : callable
        Callback that receives log events.
    resolve : callable, optional
        Returns the address of an instance whose address was not learned, or None.
    on_connected, on_lost : callable, optional
        Called with an instance when the connection to it is established or lost.
    """

    settings: TransportSettings
    hello: ConnectionHello
    tls: TlsContexts
    on_message: MessageHandler
    emit: Callable[[Emit], None]
    resolve: Callable[[InstanceId], Endpoint | None] = _resolve_nothing
    on_connected: Callable[[InstanceId], None] = _ignore_instance
    on_lost: Callable[[InstanceId], None] = _ignore_instance
    addresses: dict[InstanceId, Endpoint] = msgspec.field(default_factory=dict)
    links: dict[InstanceId, PeerLink] = msgspec.field(default_factory=dict)
    accepted_connections: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    refused_connections: int = 0
    nursery: trio.Nursery | None = None
    latest_frame: tuple[Message, bytes] | None = None
    """The message that was encoded last, and its frame."""

    def learn_address(self, instance: InstanceId, endpoint: Endpoint) -> None:
        """Store the address on which an instance listens."""
        self.addresses[instance] = endpoint

    def send(self, to: InstanceId, message: Message) -> None:
        """Queue a message for an instance, or drop it if the queue is full."""
        if to == self.hello.instance:
            self.on_message(to, message)
            return
        link = self.links.get(to) or self._open_link(to)
        # Log the event only for the 1st, 2nd, 4th, 8th ... dropped message.
        if not link.enqueue(message) and link.dropped_messages & (link.dropped_messages - 1) == 0:
            self.emit(QUEUE_FULL.emit(peer=to))

    def is_connected(self, instance: InstanceId) -> bool:
        """Return whether the connection to an instance is established."""
        link = self.links.get(instance)
        return link is not None and link.is_connected

    def maintain_connection(self, to: InstanceId) -> None:
        """Dial an instance and redial it when the connection is lost, even if nothing is sent."""
        if to != self.hello.instance and to not in self.links:
            self._open_link(to)

    def close_connection(self, instance: InstanceId) -> None:
        """Close the connection to an instance and stop redialling it."""
        link = self.links.pop(instance, None)
        if link is not None:
            link.cancel_scope.cancel()

    def _create_link(self, peer: InstanceId) -> PeerLink:
        link = PeerLink(peer, *trio.open_memory_channel[Message](self.settings.queue_messages))
        self.links[peer] = link
        return link

    def _open_link(self, to: InstanceId) -> PeerLink:
        assert self.nursery is not None, "send was called before run"
        link = self._create_link(to)
        self.nursery.start_soon(self._maintain_link, link)
        return link

    async def run(
        self,
        listener: trio.SocketListener | None,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept and dial connections until cancelled.

        `send` may be called after `task_status.started`. Without a listener this process only
        dials.
        """
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            task_status.started()
            if listener is None:
                await trio.sleep_forever()
            else:
                await trio.serve_listeners(
                    self._accept_connection, [listener], handler_nursery=nursery
                )

    async def _maintain_link(self, link: PeerLink) -> None:
        with link.cancel_scope:
            while True:
                reason = await self._run_connection(link)
                self._mark_disconnected(link, reason)
                await trio.sleep(self.settings.redial_seconds)

    def _mark_connected(self, link: PeerLink) -> None:
        link.is_connected = True
        link.dial_attempts = 0
        self.emit(PEER_CONNECTED.emit(peer=link.peer))
        self.on_connected(link.peer)

    def _mark_disconnected(self, link: PeerLink, reason: str) -> None:
        if link.is_connected:
            link.is_connected = False
            self.emit(PEER_LOST.emit(peer=link.peer, reason=reason))
            self.on_lost(link.peer)

    async def _run_connection(self, link: PeerLink) -> str:
        stream = await self._dial(link)
        if stream is None:
            _discard_queue(link)
            return "unreachable"
        reason = "closed"
        try:
            async with stream, trio.open_nursery() as nursery:
                await stream.send_all(encode_frame(self.hello))
                self._mark_connected(link)
                nursery.start_soon(self._send_queue, link, stream)
                nursery.start_soon(self._queue_heartbeats, link)
                reason = await self._receive_replies(link.peer, stream)
                nursery.cancel_scope.cancel()
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as errors:
            reason = repr(errors.exceptions[0])
        except* AssertionError:
            raise
        except* Exception as errors:
            reason = repr(errors.exceptions[0])
            self._report_error(link.peer, errors.exceptions[0])
        return reason

    async def _dial(self, link: PeerLink) -> trio.abc.Stream | None:
        endpoint = self.addresses.get(link.peer) or self.resolve(link.peer)
        if endpoint is None:
            return None
        link.dial_attempts += 1
        seconds = self.settings.first_dial_seconds * link.dial_attempts
        try:
            with trio.fail_after(min(seconds, self.settings.dial_seconds)):
                tcp = await trio.open_tcp_stream(endpoint.host, endpoint.port)
                context = self.tls.get_client_context()
                if context is None:
                    return tcp
                tls = trio.SSLStream(tcp, context, server_hostname=link.peer, https_compatible=True)
                await tls.do_handshake()
                return tls
        except (OSError, trio.TooSlowError, trio.BrokenResourceError):
            return None
        except (ValueError, OverflowError) as error:
            # No socket takes the address, which may be from the hello of another program.
            self._report_error(link.peer, error)
            return None

    async def _send_queue(self, link: PeerLink, stream: trio.abc.Stream) -> None:
        # One write sends all queued messages: fewer system calls and packets under load.
        async for message in link.receive_channel:
            parts = [self._encode_message(message)]
            while link.receive_channel.statistics().current_buffer_used:
                parts.append(self._encode_message(link.receive_channel.receive_nowait()))
            data = b"".join(parts)
            await stream.send_all(data)
            link.sent_messages += len(parts)
            link.sent_bytes += len(data)

    def _encode_message(self, message: Message) -> bytes:
        """Return the frame of a message; one that goes to many peers in a row is encoded once."""
        if self.latest_frame is None or self.latest_frame[0] is not message:
            self.latest_frame = (message, encode_frame(message))
        return self.latest_frame[1]

    async def _queue_heartbeats(self, link: PeerLink) -> None:
        number = 0
        while True:
            number += 1
            with contextlib.suppress(trio.WouldBlock):
                link.send_channel.send_nowait(Heartbeat(number))
            await trio.sleep(self.settings.heartbeat_seconds)

    async def _receive_replies(self, peer: InstanceId, stream: trio.abc.Stream) -> str:
        reader = FrameReader(stream)
        while True:
            with trio.move_on_after(self.settings.silence_seconds) as scope:
                message = await reader.receive_message()
            if scope.cancelled_caught:
                return "silent"
            match message:
                case EndOfStream():
                    return "closed by peer"
                case Undecodable():
                    return repr(message)
                case HeartbeatReply():
                    pass
                case Message():
                    self.received_messages += 1
                    self.on_message(peer, message)

    async def _accept_connection(self, tcp: trio.SocketStream) -> None:
        if self.accepted_connections >= self.settings.connections:
            self.emit(CONNECTIONS_FULL.emit(listener="control"))
            await tcp.aclose()
            return
        self.accepted_connections += 1
        try:
            await self._serve_peer(tcp)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            pass
        except* AssertionError:
            raise
        except* Exception as errors:
            self._report_error("accepted connection", errors.exceptions[0])
        finally:
            self.accepted_connections -= 1

    async def _serve_peer(self, tcp: trio.SocketStream) -> None:
        with trio.fail_after(self.settings.silence_seconds):
            accepted = await self._accept_tls(tcp)
            if accepted is None:
                return
            stream, names = accepted
            reader = FrameReader(stream)
            hello = await reader.receive_message()
            has_ended = _is_readable(tcp) and not await reader.receive_bytes()
        async with stream:
            if has_ended:
                # The peer gave up while this process was frozen or busy, and dials again: messages
                # on this connection are out of date, and replies to them would be lost.
                return
            if not isinstance(hello, ConnectionHello):
                self._report_refusal(
                    "unknown", f"first message is {hello!r:.200}, allowed is a hello"
                )
            elif (fault := _find_hello_fault(hello)) is not None:
                self._report_refusal(f"{hello.instance:.60}", fault)
            elif names is not None and hello.instance not in names:
                self._report_refusal(
                    hello.instance, f"certificate is for {sorted(names)}, not for the instance"
                )
            elif hello.control.port == NOT_LISTENING_PORT:
                await self._serve_non_listening_peer(hello.instance, reader, stream)
            else:
                self.learn_address(hello.instance, hello.control)
                await self._receive_messages(hello.instance, reader, stream)

    async def _serve_non_listening_peer(
        self, peer: InstanceId, reader: FrameReader, stream: trio.abc.Stream
    ) -> None:
        """Send and receive messages on the connection that a non-listening peer has opened."""
        link = self._create_link(peer)
        self._mark_connected(link)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_queue, link, stream)
                await self._receive_messages(peer, reader, stream, link)
                nursery.cancel_scope.cancel()
        finally:
            if self.links.get(peer) is link:
                del self.links[peer]
            self._mark_disconnected(link, "closed")

    async def _accept_tls(
        self, tcp: trio.SocketStream
    ) -> tuple[trio.abc.Stream, set[str] | None] | None:
        """Return the stream and the names in the peer's certificate, or None if TLS fails."""
        context = self.tls.get_server_context()
        if context is None:
            return tcp, None
        stream = trio.SSLStream(tcp, context, server_side=True, https_compatible=True)
        try:
            await stream.do_handshake()
        except trio.BrokenResourceError as error:
            self._report_refusal("unknown", f"TLS handshake failed: {error.__cause__!r}")
            await trio.aclose_forcefully(tcp)
            return None
        return stream, certificate_names(stream.getpeercert())

    async def _receive_messages(
        self,
        peer: InstanceId,
        reader: FrameReader,
        stream: trio.abc.Stream,
        link: PeerLink | None = None,
    ) -> None:
        while True:
            with trio.move_on_after(self.settings.silence_seconds) as scope:
                message = await reader.receive_message()
            if scope.cancelled_caught or isinstance(message, EndOfStream):
                return
            match message:
                case Undecodable():
                    self._report_refusal(peer, f"{message.fault.value}: {message.detail}")
                    return
                case Heartbeat(number=number) if link is not None:
                    link.enqueue(HeartbeatReply(number))
                case Heartbeat(number=number):
                    with trio.fail_after(self.settings.silence_seconds):
                        await stream.send_all(encode_frame(HeartbeatReply(number)))
                case Message():
                    self.received_messages += 1
                    self.on_message(peer, message)

    def _report_error(self, peer: str, error: BaseException) -> None:
        self.emit(UNEXPECTED_ERROR.emit(where=f"peer {peer}", error=f"{error!r:.200}"))

    def _report_refusal(self, peer: str, reason: str) -> None:
        self.refused_connections += 1
        self.emit(FRAME_REFUSED.emit(peer=peer, reason=reason))


def _find_hello_fault(hello: ConnectionHello) -> str | None:
    """Return why a hello can't be from an instance, or None if it can."""
    if not 0 < len(hello.instance) <= MAX_INSTANCE_CHARACTERS:
        return f"instance has {len(hello.instance)} characters, allowed are 1 to 255"
    if not NOT_LISTENING_PORT <= hello.control.port <= MAX_PORT:
        return f"control has port {hello.control.port}, allowed is 0 to {MAX_PORT}"
    try:
        hello.control.host.encode("idna")
    except UnicodeError:
        return f"control has host {hello.control.host!r:.60}, which is no host name"
    return None


def _discard_queue(link: PeerLink) -> None:
    while link.receive_channel.statistics().current_buffer_used:
        link.receive_channel.receive_nowait()
        link.dropped_messages += 1


def _is_readable(tcp: trio.SocketStream) -> bool:
    """Return whether bytes or the end of the stream can be read without waiting."""
    poller = select.poll()
    poller.register(tcp.socket.fileno(), select.POLLIN)
    return bool(poller.poll(0))
