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
        Stream that carries length-prefixed frames.
    """

    def __init__(self, stream: trio.abc.ReceiveStream) -> None:
        self.stream = stream
        self.frame_buffer = FrameBuffer()

    async def receive_message(self) -> Message | Undecodable | EndOfStream:
        """Wait for one complete message.

        Returns
        -------
        Message, Undecodable or EndOfStream
            The message, the reason why its bytes are rejected, or the end of the stream. The
            stream can't be read further after `Undecodable`.
        """
        while (message := self.frame_buffer.pop_message()) is None:
            data = await self.stream.receive_some(RECEIVE_BYTES)
            if not data:
                return self._describe_truncation() if self.frame_buffer.buffer else END_OF_STREAM
            self.frame_buffer.append_bytes(data)
        return message

    async def receive_bytes(self) -> bool:
        """Wait for bytes and keep them for `receive_message`; return False at the stream's end."""
        data = await self.stream.receive_some(RECEIVE_BYTES)
        self.frame_buffer.append_bytes(data)
        return bool(data)

    def _describe_truncation(self) -> Undecodable:
        detail = f"stream ended inside a frame after {len(self.frame_buffer.buffer)} bytes of it"
        return Undecodable(DecodeFault.MALFORMED, detail)
