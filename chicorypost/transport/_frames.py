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
        self.frame_buffer = FrameBuffer()

    async def receive_message(self) -> Message | Undecodable | EndOfStream:
        """Wait for one whole message.

        Returns
        -------
        Message, Undecodable or EndOfStream
            The message, why its bytes are refused, or the end of the stream. After `Undecodable`
            the stream is not usable any more.
        """
        while (message := self.frame_buffer.pop_message()) is None:
            data = await self.stream.receive_some(RECEIVE_BYTES)
            if not data:
                return self._describe_truncation() if self.frame_buffer.buffer else END_OF_STREAM
            self.frame_buffer.append_bytes(data)
        return message

    def _describe_truncation(self) -> Undecodable:
        detail = f"stream ended inside a frame, got {len(self.frame_buffer.buffer)} bytes of it"
        return Undecodable(DecodeFault.MALFORMED, detail)
