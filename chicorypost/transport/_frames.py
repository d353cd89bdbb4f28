"""Length-prefixed frames on a byte stream."""

import trio

from chicorypost.base import DecodeFault, Message, Undecodable
from chicorypost.transport._frame_buffer import FrameBuffer

RECEIVE_BYTES = 64 * 1024


class EndOfStream:
    """The peer closed the connection between two frames."""


END_OF_STREAM = EndOfStream()


class FrameReader:
    """Reads messages from a stream.

    Parameters
    ----------
    stream : trio.abc.ReceiveStream
        Where bytes come from.
    """

    def __init__(self, stream: trio.abc.ReceiveStream) -> None:
        self.stream = stream
        self.frames = FrameBuffer()

    async def receive(self) -> Message | Undecodable | EndOfStream:
        """Wait for one whole message.

        Returns
        -------
        Message, Undecodable or EndOfStream
            The message, why its bytes are refused, or the end of the stream. After `Undecodable`
            the stream is not usable any more.
        """
        while (message := self.frames.take()) is None:
            data = await self.stream.receive_some(RECEIVE_BYTES)
            if not data:
                return self._truncated() if self.frames.buffer else END_OF_STREAM
            self.frames.add(data)
        return message

    def _truncated(self) -> Undecodable:
        detail = f"stream ended inside a frame, got {len(self.frames.buffer)} bytes of it"
        return Undecodable(DecodeFault.MALFORMED, detail)
