"""Length-prefixed frames on a byte stream."""

import trio

from chicorypost.base import MAX_MESSAGE_BYTES, DecodeFault, Message, Undecodable, decode, encode

LENGTH_BYTES = 4
RECEIVE_BYTES = 64 * 1024


class EndOfStream:
    """The peer closed the connection between two frames."""


END_OF_STREAM = EndOfStream()


def encode_frame(message: Message) -> bytes:
    """Return the message with its length in front."""
    body = encode(message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameReader:
    """Reads messages from a stream.

    Parameters
    ----------
    stream : trio.abc.ReceiveStream
        Where bytes come from.
    """

    def __init__(self, stream: trio.abc.ReceiveStream) -> None:
        self.stream = stream
        self.buffer = bytearray()

    async def receive(self) -> Message | Undecodable | EndOfStream:
        """Wait for one whole message.

        Returns
        -------
        Message, Undecodable or EndOfStream
            The message, why its bytes are refused, or the end of the stream. After `Undecodable`
            the stream is not usable any more.
        """
        if not await self._fill(LENGTH_BYTES):
            return END_OF_STREAM if not self.buffer else self._truncated()
        length = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
        if length > MAX_MESSAGE_BYTES:
            detail = f"frame has {length} bytes, at most {MAX_MESSAGE_BYTES} are allowed"
            return Undecodable(DecodeFault.TOO_LARGE, detail)
        if not await self._fill(LENGTH_BYTES + length):
            return self._truncated()
        body = bytes(self.buffer[LENGTH_BYTES : LENGTH_BYTES + length])
        del self.buffer[: LENGTH_BYTES + length]
        return decode(body)

    async def _fill(self, size: int) -> bool:
        while len(self.buffer) < size:
            data = await self.stream.receive_some(RECEIVE_BYTES)
            if not data:
                return False
            self.buffer += data
        return True

    def _truncated(self) -> Undecodable:
        detail = f"stream ended inside a frame, got {len(self.buffer)} bytes of it"
        return Undecodable(DecodeFault.MALFORMED, detail)
