"""Encoding of messages with thrift's compact protocol."""

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from galenascale.errors import DecodeError

# Limits for one message, against allocation by forged lengths.
MAX_STRING_BYTES = 1 << 25
MAX_CONTAINER_ITEMS = 1 << 20


def encode(message):
    """Return the message as bytes."""
    protocol = TCompactProtocolAccelerated(TMemoryBuffer(), fallback=False)
    return protocol._fast_encode(message, [type(message), message.thrift_spec])


def decode(message_type, data):
    """
    Return the message of the type that the bytes hold.

    Unknown fields are skipped. Raise DecodeError for anything else than an
    encoded message.
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
        # others, depending on where the input breaks off.
        raise DecodeError(
            f"{message_type.__name__} cannot be decoded: {error!r}", step="decode"
        ) from error
    return message
