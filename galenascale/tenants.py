"""Keys of callers: which tenant sends a request, and who is an operator."""

from galenascale.errors import UserError
from galenascale.key_table import MAX_KEY_BYTES, KeyTable
from galenascale.logs import get_logger

log = get_logger("tenants")


def _make_table(digests_by_owner):
    table = KeyTable(digests_by_owner)
    for reason in table.skipped:
        log.warning("Skipped a key: %s.", reason)
    return table


class Tenants:
    """Tenant keys of the configuration and operator keys of the settings."""

    def __init__(self, operator_key_digests=()):
        self._operators = _make_table({"operator": list(operator_key_digests)})
        self._tenants = _make_table({})

    def install(self, configuration):
        """Take the keys of a Configuration (callback of ConfigFollower)."""
        self._tenants = _make_table(
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
    # Headers may hold bytes that are not UTF-8, as surrogates.
    encoded = key.encode("utf-8", "surrogateescape")
    if len(encoded) > MAX_KEY_BYTES:
        raise _unauthorized("API key is not valid", "invalid_api_key")
    return encoded


def _unauthorized(message, code):
    return UserError(message, code=code, http_status=401)
