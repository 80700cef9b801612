"""Made-up text of the engine stand-in.

The text of a token depends only on model, version, adapter, prompt and index,
so a resumed answer can be compared with an uninterrupted one.
"""

import xxhash

SYLLABLES = ("ba", "de", "ki", "lo", "mu", "na", "ri", "so", "ta", "ve", "we", "zu")
WORDS = tuple(f"{first}{second} " for first in SYLLABLES for second in SYLLABLES)


def text_digest(model, version, adapter, prompt):
    """Return the 64-bit digest that decides the text of an answer."""
    scope = xxhash.xxh3_64_intdigest(f"{model}\0{version}\0{adapter}".encode())
    return xxhash.xxh3_64_intdigest(prompt.encode(), seed=scope)


def token_text(digest, index):
    """Return the text of a token of the answer with a digest."""
    place = xxhash.xxh3_64_intdigest(index.to_bytes(8, "little"), seed=digest)
    return WORDS[place % len(WORDS)]


def completion_text(digest, first, last):
    """Return the joined text of tokens from first up to but without last."""
    return "".join(token_text(digest, index) for index in range(first, last))
