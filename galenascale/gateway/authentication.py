"""Which tenant a caller belongs to, and whether its key still counts."""

from galenascale.errors import UserError
from galenascale.gateway.attempts import not_run_error
from galenascale.key_table import MAX_KEY_BYTES

# Retry-After in seconds of a host that cannot prove that its configuration is
# the newest. The caller's next attempt meets another host.
UNPROVEN_RETRY_S = 0.1

# Name of the tenant of requests that need no key.
ANONYMOUS = ""
# Label of the metrics for callers without a valid key.
UNKNOWN_TENANT = "unknown"


class Authenticator:
    """Finds the tenants of requests by the newest configuration."""

    def __init__(self, context):
        self._context = context

    def is_proven(self):
        """Return True if requests with a key may run on this host now."""
        context = self._context
        if context.configuration.tenants is None:
            return True
        return context.configuration_proof.permits_keys(
            context.clock.monotonic(), context.settings.bounds.revoke_ms
        )

    def identify(self, request, route):
        """
        Set the tenant of a request on a route.

        Raise UserError (401) for a key that is missing, malformed or unknown,
        and RequestFailed (not run) if this host may not know that the key was
        taken away or added.
        """
        if self._context.configuration.tenants is None:
            return
        if route.anonymous:
            request.tenant = ANONYMOUS
            return
        request.tenant = self._find_tenant(request.key)
        if not self.is_proven():
            raise self._unproven(request.tenant)

    def identify_call(self, request):
        """
        Set the tenant of a call about a job, which runs nothing.

        A call without a key reaches the jobs of anonymous routes only. Raise
        as `identify` for a key that is malformed or unknown.
        """
        if self._context.configuration.tenants is None:
            return
        has_key = request.key is not None
        request.tenant = self._find_tenant(request.key) if has_key else ANONYMOUS

    def _find_tenant(self, key):
        if key is None:
            raise self._unauthorized("a key is required", "missing_api_key")
        tenant = None
        if 0 < len(key) <= MAX_KEY_BYTES:
            tenant = self._context.configuration.tenants.find(key)
        if tenant is not None:
            return tenant.name
        if key and self._may_lack_keys():
            raise self._unproven(UNKNOWN_TENANT)
        raise self._unauthorized("key is not valid", "invalid_api_key")

    def _may_lack_keys(self):
        """Return True if a key may have been added that is not known here."""
        return (
            self._proof_age_s() * 1000 > self._context.settings.bounds.config_apply_ms
        )

    def _unproven(self, tenant):
        context = self._context
        context.metrics.count_rejection(tenant, "configuration_unproven")
        return not_run_error(
            f"configuration was last confirmed {self._proof_age_s():.1f} s ago",
            code="configuration_unproven",
            retry_after_s=UNPROVEN_RETRY_S,
        )

    def _unauthorized(self, message, code):
        self._context.metrics.count_rejection(UNKNOWN_TENANT, code)
        return UserError(
            f"{message}, by a configuration confirmed {self._proof_age_s():.1f} s ago",
            code=code,
            step="authenticate",
            http_status=401,
        )

    def _proof_age_s(self):
        context = self._context
        return context.configuration_proof.age_s(context.clock.monotonic())
