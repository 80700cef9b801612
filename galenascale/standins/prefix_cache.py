"""Prefix cache of the engine model, with LRU eviction of blocks."""

import collections

import attrs
import xxhash

BLOCK_TOKENS = 64
# Approximate length of a token, used instead of a tokenizer.
CHARACTERS_PER_TOKEN = 4


def count_tokens(text):
    """Return the approximate number of tokens in a text."""
    return len(text) // CHARACTERS_PER_TOKEN + 1


def block_hashes(scope, text):
    """
    Return the hash of each whole block of a text.

    Each hash includes the blocks before it. `scope` is the 64-bit digest of
    model, version and adapter.
    """
    size = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
    hashes, previous = [], scope
    for start in range(0, len(text) - size + 1, size):
        block = text[start : start + size].encode()
        previous = xxhash.xxh3_64_intdigest(block, seed=previous)
        hashes.append(previous)
    return tuple(hashes)


@attrs.frozen
class CacheEvent:
    """Storage or eviction of a block; `prefix` is its hash."""

    type: str
    prefix: int
    tokens: int


class PrefixCache:
    """Set of block hashes, limited to `limit_tokens` tokens."""

    def __init__(self, limit_tokens):
        self._limit_blocks = limit_tokens // BLOCK_TOKENS
        self._blocks = collections.OrderedDict()
        self._events = []

    @property
    def tokens(self):
        """Number of cached tokens."""
        return len(self._blocks) * BLOCK_TOKENS

    def match(self, hashes):
        """Return the number of leading tokens in the cache; mark them used."""
        found = 0
        for block in hashes:
            if block not in self._blocks:
                break
            found += 1
        self._touch(hashes[:found])
        return found * BLOCK_TOKENS

    def store(self, hashes):
        """Store the leading blocks that fit, evicting the least recent."""
        hashes = hashes[: self._limit_blocks]
        for block in hashes:
            if block not in self._blocks:
                self._blocks[block] = None
                self._events.append(CacheEvent("stored", block, BLOCK_TOKENS))
        self._touch(hashes)
        while len(self._blocks) > self._limit_blocks:
            block, _ = self._blocks.popitem(last=False)
            self._events.append(CacheEvent("evicted", block, BLOCK_TOKENS))

    def take_events(self):
        """Return the events since the last call."""
        events, self._events = self._events, []
        return events

    def _touch(self, hashes):
        # The first block becomes the most recent one, so the end of a chain is
        # evicted before its start.
        for block in reversed(hashes):
            self._blocks.move_to_end(block)
