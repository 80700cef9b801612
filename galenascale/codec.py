"""Encoding and decoding of messages in Thrift's compact protocol."""

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from galenascale.errors import DecodeError

# Limits per message, so that forged lengths cannot cause large allocations.
MAX_STRING_BYTES = 1 << 25
MAX_CONTAINER_ITEMS = 1 << 20


def encode(message):
    """Return the message as bytes."""
    protocol = TCompactProtocolAccelerated(TMemoryBuffer(), fallback=False)
    return protocol._fast_encode(message, [type(message), message.thrift_spec])


def decode(message_type, data):
    """
    Return the message of a type from its encoded bytes.

    Unknown fields are skipped. Raise DecodeError for invalid input.
    """
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(data),
        fallback=False,
        string_length_limit=MAX_STRING_BYTES,
        container_length_limit=MAX_CONTAINER_ITEMS,
    )
    message = message_type()
    try:
        protocol._fast_decode(
            message, protocol, [message_type, message_type.thrift_spec]
        )
    except Exception as error:
        # The C extension raises EOFError, TypeError, UnicodeDecodeError and
        # others, depending on where the input is
        # malformed.
        raise DecodeError(
            f"{message_type.__name__} cannot be decoded: {error!r}", step="decode"
        ) from error
    return message
