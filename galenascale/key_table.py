"""Owners of keys, by SHA-256 digests of the keys.

The digests are found through an index made with a secret of the process, so
that the time of a lookup says nothing about them, and are then compared in
constant time.
"""

import hashlib
import hmac
import secrets

MAX_KEY_BYTES = 512
_NO_DIGEST = bytes(hashlib.sha256().digest_size)


def key_digest(key):
    """Return the SHA-256 hex digest under which a key is declared."""
    return hashlib.sha256(key.encode()).hexdigest()


class KeyTable:
    """Owners by the digest of their key."""

    def __init__(self, digests_by_owner):
        self._secret = secrets.token_bytes(32)
        self._entries_by_index = {}
        # Why digests were left out.
        self.skipped = []
        for owner, hex_digests in digests_by_owner.items():
            for hex_digest in hex_digests:
                self._add(owner, hex_digest)

    def __len__(self):
        return len(self._entries_by_index)

    def _index(self, digest):
        return hashlib.blake2b(digest, key=self._secret, digest_size=16).digest()

    def _add(self, owner, hex_digest):
        try:
            digest = bytes.fromhex(hex_digest)
        except ValueError:
            digest = b""
        if len(digest) != len(_NO_DIGEST):
            self.skipped.append(f"a key digest of {owner} is not SHA-256")
            return
        index = self._index(digest)
        earlier = self._entries_by_index.setdefault(index, (digest, owner))[1]
        if earlier != owner:
            self.skipped.append(f"a key digest of {owner} belongs to {earlier}")

    def find(self, key):
        """Return the owner of a key, or None."""
        digest = hashlib.sha256(key).digest()
        entry = self._entries_by_index.get(self._index(digest))
        expected, owner = entry or (_NO_DIGEST, None)
        return owner if hmac.compare_digest(expected, digest) else None
