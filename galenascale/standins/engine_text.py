"""Deterministic text generation of the engine stand-in.

The text of a token depends only on model, version, adapter, prompt and index,
so a resumed completion can be compared with an uninterrupted one.
"""

import xxhash

SYLLABLES = ("ba", "de", "ki", "lo", "mu", "na", "ri", "so", "ta", "ve", "we", "zu")
WORDS = tuple(f"{first}{second} " for first in SYLLABLES for second in SYLLABLES)


def text_digest(model, version, adapter, prompt):
    """Return the 64-bit digest that determines the text of a completion."""
    scope = xxhash.xxh3_64_intdigest(f"{model}\0{version}\0{adapter}".encode())
    return xxhash.xxh3_64_intdigest(prompt.encode(), seed=scope)


def token_text(digest, index):
    """Return the text of the token at an index of a completion."""
    digest_value = xxhash.xxh3_64_intdigest(index.to_bytes(8, "little"), seed=digest)
    return WORDS[digest_value % len(WORDS)]


def completion_text(digest, first, last):
    """Return the text of the tokens from `first` to `last`, exclusive."""
    return "".join(token_text(digest, index) for index in range(first, last))
