"""Encoding and incremental decoding of length-prefixed frames, without I/O."""

from chicorypost.base import MAX_MESSAGE_BYTES, DecodeFault, Message, Undecodable, decode, encode

LENGTH_BYTES = 4


def encode_frame(message: Message) -> bytes:
    """Return the encoded message, prefixed with its length as a big-endian integer."""
    body = encode(message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameBuffer:
    """Buffers received bytes and extracts complete messages."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def append_bytes(self, data: bytes | bytearray) -> None:
        """Append received bytes."""
        self.buffer += data

    def pop_message(self) -> Message | Undecodable | None:
        """Remove and return the next message.

        Returns
        -------
        Message, Undecodable or None
            The message, the reason why its bytes are rejected, or None while it is incomplete.
            Bytes after `Undecodable` can't be decoded.
        """
        if len(self.buffer) < LENGTH_BYTES:
            return None
        length = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
        if length > MAX_MESSAGE_BYTES:
            detail = f"frame has {length} bytes, allowed are at most {MAX_MESSAGE_BYTES}"
            return Undecodable(DecodeFault.TOO_LARGE, detail)
        end = LENGTH_BYTES + length
        if len(self.buffer) < end:
            return None
        body = bytes(self.buffer[LENGTH_BYTES:end])
        del self.buffer[:end]
        return decode(body)
