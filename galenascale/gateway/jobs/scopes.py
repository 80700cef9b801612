"""Names that keep the jobs and quotas of tenants apart."""

import urllib.parse

import attrs


def scoped_job_id(tenant, job_id):
    """
    Return the id under which a caller's job is stored.

    The same id from two tenants names two jobs. `tenant` is empty for callers
    without a key, and None in a configuration without tenants.
    """
    return job_id if tenant is None else f"{_quote(tenant)}/{job_id}"


def may_access(job, tenant):
    """
    Return True if a tenant's caller may see a Job.

    Jobs of anonymous routes, and those from before the configuration had
    tenants, are open to all callers.
    """
    return tenant is None or job.tenant in ("", tenant)


@attrs.frozen
class QuotaScope:
    """What one quota of tokens limits: the jobs of a tenant on a route."""

    route: str
    # Empty for callers without a tenant.
    tenant: str = ""

    @classmethod
    def of_job(cls, job):
        """Return the scope to which a stored Job belongs."""
        return cls(job.route, job.tenant)

    @property
    def name(self):
        """Return the name in records, unique among all scopes."""
        return f"{self.route}/{_quote(self.tenant)}" if self.tenant else self.route


def _quote(tenant):
    return urllib.parse.quote(tenant, safe="")
