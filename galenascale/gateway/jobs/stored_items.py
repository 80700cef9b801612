"""Items of accepted jobs, in a form that takes little memory."""

import attrs
import orjson

# Memory in bytes of a StoredItem beside its texts.
ITEM_BYTES = 400


@attrs.define
class StoredItem:
    """One item of an accepted job, without its body."""

    item_id: str
    # Path and query string.
    path: str
    # Headers as a JSON object; empty once the item has an outcome.
    header_block: bytes
    # Sum of the prompt tokens and the largest number of output tokens.
    tokens: int
    # Length of the body, and where it is among the job's body records.
    body_bytes: int
    first_record: int
    records: int

    @property
    def headers(self):
        """Return the headers by name."""
        return orjson.loads(self.header_block) if self.header_block else {}

    def drop_headers(self):
        """Forget the headers, which only runs need."""
        self.header_block = b""


def pack_items(items):
    """
    Return the StoredItems of JobItems.

    Most items of a job have the same headers, which they share. Decoded, short
    headers take twenty times the memory of their text.
    """
    blocks = {}
    packed = []
    for item in items:
        # A copy, as orjson allocates more than its result needs.
        block = memoryview(orjson.dumps(item.headers)).tobytes()
        packed.append(
            StoredItem(
                item_id=item.item_id,
                path=item.path,
                header_block=blocks.setdefault(block, block),
                tokens=item.tokens,
                body_bytes=item.body_bytes,
                first_record=item.first_record,
                records=item.records,
            )
        )
    return tuple(packed)


def packed_size(items):
    """Return the memory of StoredItems in bytes, of shared headers once."""
    blocks = {item.header_block for item in items}
    texts = sum(len(item.item_id) + len(item.path) for item in items)
    return len(items) * ITEM_BYTES + texts + sum(map(len, blocks))


def find_index(items, item_id):
    """Return the index of the StoredItem with an id, or None."""
    for index, item in enumerate(items):
        if item.item_id == item_id:
            return index
    return None
