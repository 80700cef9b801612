"""The receive buffer that all connections to backend servers share."""

# Received bytes are parsed before the event loop reads again. Parsed objects
# take many times the memory of the bytes they come from, so the buffer is
# parsed in parts.
RECEIVE_BUFFER = memoryview(bytearray(1 << 16))
MAX_PARSE_BYTES = 1 << 13


def received_parts(size):
    """Yield the first `size` bytes of the buffer in parts to be parsed."""
    for start in range(0, size, MAX_PARSE_BYTES):
        yield RECEIVE_BUFFER[start : min(size, start + MAX_PARSE_BYTES)]
