"""
Run `galenascale gateway`, optionally with clock skew or an injected defect.

A defect replaces one function of the gateway, to show that the checks of the
soak test detect it. Environment variables select both.
"""

import os

from galenascale.__main__ import main
from galenascale.clock import Clock
from galenascale.gateway import attempts, request_handler
from galenascale.gateway.configuration import ConfigurationState, Route
from galenascale.gateway.configuration_proof import ConfigurationProof
from galenascale.gateway.jobs import state
from galenascale.gateway.rates.client import RateClient
from galenascale.gateway.servers import ServerList
from galenascale.platform import headers

# Environment variables: clock skew in milliseconds, key of DEFECTS_BY_NAME.
SKEW_VARIABLE = "GALENASCALE_SOAK_SKEW_MS"
DEFECT_VARIABLE = "GALENASCALE_SOAK_BREAK"


def _retry_non_idempotent_requests():
    Route.repeatable = property(lambda route: True)
    attempts.AttemptPlan.may_run = lambda plan: plan.runs < 3


def _report_all_failures_as_not_run():
    attempts.may_have_run_error = lambda message, **fields: attempts.not_run_error(
        message, code="no_server"
    )


def _route_to_draining_servers():
    usable = ServerList.usable

    def all_usable(servers, service, now):
        drained = [
            entry
            for entry in servers.all_entries()
            if entry.service == service and entry.draining
        ]
        return usable(servers, service, now) + drained

    ServerList.usable = all_usable
    ServerList.is_usable = lambda servers, entry, now: True


def _ignore_leaving_announcements():
    ServerList.record_leaving = lambda servers, entry, now: False
    ServerList.merge_leaving = lambda servers, run_keys, now: False


def _drop_last_outcomes():
    apply_outcomes = state._APPLY_BY_KIND[state.JobRecordKind.OUTCOMES]

    def apply_all_but_last(job, body, offset):
        if len(job.outcomes) < job.total - 1:
            apply_outcomes(job, body, offset)

    state._APPLY_BY_KIND[state.JobRecordKind.OUTCOMES] = apply_all_but_last


def _keep_first_configuration():
    install = ConfigurationState.install

    def install_first(configurations, configuration):
        if configurations.current is not None:
            return False
        return install(configurations, configuration)

    ConfigurationState.install = install_first


def _complete_broken_streams():
    # Without an abort, the HTTP library ends the response as if complete.
    request_handler.responses.CallerStream.abort = lambda stream: None


def _pass_keys_on():
    headers.replace_credentials = lambda sent, tenant: list(sent)


def _trust_any_configuration():
    # A host that reads no configuration goes on with the first one.
    _keep_first_configuration()
    ConfigurationProof.permits_keys = lambda proof, now, revoke_ms: True


def _limit_no_rates():
    async def admit(client, tenant_name):
        pass

    RateClient.admit = admit


DEFECTS_BY_NAME = {
    "pass_keys_on": _pass_keys_on,
    "trust_any_configuration": _trust_any_configuration,
    "limit_no_rates": _limit_no_rates,
    "repeat_everything": _retry_non_idempotent_requests,
    "deny_runs": _report_all_failures_as_not_run,
    "ignore_draining": _route_to_draining_servers,
    "ignore_word_of_servers": _ignore_leaving_announcements,
    "forget_outcomes": _drop_last_outcomes,
    "keep_first_configuration": _keep_first_configuration,
    "complete_broken_streams": _complete_broken_streams,
}


def _skew_clock(milliseconds):
    unskewed_wall_ms = Clock.wall_ms
    Clock.wall_ms = lambda clock: unskewed_wall_ms(clock) + milliseconds


if __name__ == "__main__":
    if os.environ.get(SKEW_VARIABLE):
        _skew_clock(int(os.environ[SKEW_VARIABLE]))
    if os.environ.get(DEFECT_VARIABLE):
        DEFECTS_BY_NAME[os.environ[DEFECT_VARIABLE]]()
    main()
