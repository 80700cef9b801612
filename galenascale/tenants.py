"""Keys of callers: which tenant sends a request, and who is an operator.

Only SHA-256 digests of keys are kept. They are found through an index made
with a secret of the process, so that the time of a lookup says nothing about
the digests, and are then compared in constant time.
"""

import hashlib
import hmac
import secrets

from galenascale.errors import UserError
from galenascale.logs import get_logger

log = get_logger("tenants")

MAX_KEY_CHARACTERS = 512
_NO_DIGEST = bytes(hashlib.sha256().digest_size)


def key_digest(key):
    """Return the SHA-256 hex digest under which a key is declared."""
    return hashlib.sha256(key.encode()).hexdigest()


class KeyTable:
    """Owners by the digest of their key."""

    def __init__(self, digests_by_owner):
        self._secret = secrets.token_bytes(32)
        self._entries_by_index = {}
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
            log.warning("Skipped a key digest of %s that is not SHA-256.", owner)
            return
        index = self._index(digest)
        earlier = self._entries_by_index.setdefault(index, (digest, owner))[1]
        if earlier != owner:
            log.warning("Skipped a key digest of %s that %s has.", owner, earlier)

    def find(self, key):
        """Return the owner of a key, or None."""
        digest = hashlib.sha256(key).digest()
        entry = self._entries_by_index.get(self._index(digest))
        expected, owner = entry or (_NO_DIGEST, None)
        return owner if hmac.compare_digest(expected, digest) else None


class Tenants:
    """Tenant keys of the configuration and operator keys of the settings."""

    def __init__(self, operator_key_digests=()):
        self._operators = KeyTable({"operator": list(operator_key_digests)})
        self._tenants = KeyTable({})

    def install(self, configuration):
        """Take the keys of a Configuration (callback of ConfigFollower)."""
        self._tenants = KeyTable(
            {
                name: tenant.key_digests
                for name, tenant in configuration.tenants_by_id.items()
            }
        )

    @property
    def has_operators(self):
        """Whether any operator key is declared."""
        return len(self._operators) > 0

    def tenant_of(self, authorization):
        """Return the tenant of an Authorization header; UserError if none."""
        tenant = self._tenants.find(_bearer_key(authorization))
        if tenant is None:
            raise _unauthorized("API key is not valid", "invalid_api_key")
        return tenant

    def check_operator(self, authorization):
        """Raise UserError unless the header carries an operator key."""
        if self._operators.find(_bearer_key(authorization)) is None:
            raise _unauthorized("operator key is not valid", "invalid_operator_key")


def _bearer_key(authorization):
    scheme, _, key = (authorization or "").partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or not key:
        raise _unauthorized("Authorization: Bearer KEY is required", "missing_api_key")
    if len(key) > MAX_KEY_CHARACTERS:
        raise _unauthorized("API key is not valid", "invalid_api_key")
    # Headers may hold bytes that are not UTF-8, as surrogates.
    return key.encode("utf-8", "surrogateescape")


def _unauthorized(message, code):
    return UserError(message, code=code, http_status=401)
