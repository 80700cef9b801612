"""
Sizes of what hosts write to the store and read from it.

Readers and writers share them, so that every host can read what another one
wrote, also through a third one that relays its calls.
"""

# Largest response of the store, or answer of a host that relays a read, in
# bytes. A read returns about READ_KB, and may return one record more.
MAX_READ_BYTES = 4 << 20
READ_KB = 1024
# Largest call in bytes that hosts relay for each other, and largest append in
# one call, which leaves room for its framing.
MAX_CALL_BYTES = 1 << 20
MAX_APPEND_BYTES = 960 << 10
# Largest record in bytes that a host writes, however large the store allows.
MAX_RECORD_BYTES = 512 << 10
# Texts of unfinished output in one record, in bytes, and the largest of one
# item that is recorded. Earlier builds read a body with one call.
PROGRESS_GROUP_BYTES = 1 << 20
MAX_PROGRESS_BYTES = 3 << 20
# Largest body with progress, in bytes, that is read.
MAX_PROGRESS_BODY_BYTES = 4 << 20


def record_limit(store_settings):
    """Return the largest record in bytes that a host writes."""
    return min(store_settings.record_bytes, MAX_RECORD_BYTES)


def append_limit(store_settings):
    """Return the most bytes of records that a host appends in one call."""
    return min(store_settings.call_bytes, MAX_APPEND_BYTES)
