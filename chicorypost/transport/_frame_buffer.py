"""Length-prefixed frames, as bytes come and go; knows no stream."""

from chicorypost.base import MAX_MESSAGE_BYTES, DecodeFault, Message, Undecodable, decode, encode

LENGTH_BYTES = 4


def encode_frame(message: Message) -> bytes:
    """Return the message with its length in front."""
    body = encode(message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameBuffer:
    """Collects bytes until they make a message."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def append_bytes(self, data: bytes | bytearray) -> None:
        """Take bytes that have come."""
        self.buffer += data

    def pop_message(self) -> Message | Undecodable | None:
        """Return the next message.

        Returns
        -------
        Message, Undecodable or None
            The message, why its bytes are refused, or None as long as it isn't whole. After
            `Undecodable` what follows can't be read any more.
        """
        if len(self.buffer) < LENGTH_BYTES:
            return None
        length = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
        if length > MAX_MESSAGE_BYTES:
            detail = f"frame has {length} bytes, at most {MAX_MESSAGE_BYTES} are allowed"
            return Undecodable(DecodeFault.TOO_LARGE, detail)
        end = LENGTH_BYTES + length
        if len(self.buffer) < end:
            return None
        body = bytes(self.buffer[LENGTH_BYTES:end])
        del self.buffer[:end]
        return decode(body)
