"""Tests of encoding and decoding messages."""

import msgpack
from hypothesis import given
from hypothesis import strategies as st

from chicorypost.base import DecodeFault, Endpoint, Message, Undecodable, decode, encode


class NestedMessage(Message, frozen=True, array_like=True, tag=9_001):
    """A message with nested and binary fields."""

    number: int
    payload: bytes
    endpoint: Endpoint


@given(st.integers(-(2**63), 2**63 - 1), st.binary(max_size=100), st.text(max_size=20))
def test_a_decoded_message_equals_the_encoded_one(number, payload, host):
    message = NestedMessage(number, payload, Endpoint(host, 80))
    assert decode(encode(message)) == message


@given(st.binary(max_size=300))
def test_arbitrary_bytes_decode_to_an_undecodable_result(data):
    assert isinstance(decode(data), Undecodable)


def test_the_fault_distinguishes_version_type_and_field():
    wrong_version = decode(msgpack.packb([2, [9_001, 1, b"", ["h", 1]]]))
    unknown_type = decode(msgpack.packb([1, [8_999]]))
    wrong_field = decode(msgpack.packb([1, [9_001, "x", b"", ["h", 1]]]))
    assert isinstance(wrong_version, Undecodable)
    assert isinstance(unknown_type, Undecodable)
    assert isinstance(wrong_field, Undecodable)
    assert wrong_version.fault is DecodeFault.WRONG_VERSION
    assert unknown_type.fault is DecodeFault.UNKNOWN_TYPE
    assert wrong_field.fault is DecodeFault.INVALID_FIELD


@given(st.binary(min_size=1, max_size=30), st.integers(0, 60))
def test_damaged_messages_never_raise(noise, at):
    encoded = bytearray(encode(NestedMessage(7, b"payload", Endpoint("::1", 9))))
    at = min(at, len(encoded) - 1)
    encoded[at : at + len(noise)] = noise
    decode(bytes(encoded))
