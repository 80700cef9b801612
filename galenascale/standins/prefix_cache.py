"""Prefix cache of the engine model, which evicts the least recent block."""

import collections

import attrs
import xxhash

BLOCK_TOKENS = 64
# Rough length of a token, with which the stand-in counts tokens of a text.
CHARACTERS_PER_TOKEN = 4


def count_tokens(text):
    """Return the number of tokens that the stand-in counts in a text."""
    return len(text) // CHARACTERS_PER_TOKEN + 1


def block_hashes(scope, text):
    """
    Return the chained hash of each whole block of a text.

    The scope is the 64-bit digest of model, version and adapter.
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
    """A block that was stored or evicted."""

    type: str
    prefix: int
    tokens: int


class PrefixCache:
    """Blocks by hash within a limit in tokens."""

    def __init__(self, limit_tokens):
        self._limit_blocks = limit_tokens // BLOCK_TOKENS
        self._blocks = collections.OrderedDict()
        self._events = []

    @property
    def tokens(self):
        """Number of tokens kept."""
        return len(self._blocks) * BLOCK_TOKENS

    def match(self, hashes):
        """Return how many leading tokens are kept, and mark them as used."""
        found = 0
        for block in hashes:
            if block not in self._blocks:
                break
            found += 1
        self._touch(hashes[:found])
        return found * BLOCK_TOKENS

    def store(self, hashes):
        """Keep the leading blocks that fit, evicting others."""
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
        # The first block is touched last, so a chain loses its end first.
        for block in reversed(hashes):
            self._blocks.move_to_end(block)
