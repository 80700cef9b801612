"""
The real gateway with a wrong clock or a broken promise, for the soak.

A break changes one function of the program, so that the soak can be shown to
notice it. Without one this is `galenascale gateway`.
"""

import os

from galenascale.__main__ import main
from galenascale.clock import Clock
from galenascale.gateway import attempts, request_handler
from galenascale.gateway.configuration import ConfigurationState, Route
from galenascale.gateway.jobs import state
from galenascale.gateway.servers import ServerList

SKEW_VARIABLE = "GALENASCALE_SOAK_SKEW_MS"
BREAK_VARIABLE = "GALENASCALE_SOAK_BREAK"


def _repeat_everything():
    Route.repeatable = property(lambda route: True)
    attempts.AttemptPlan.may_run = lambda plan: plan.runs < 3


def _deny_runs():
    attempts.may_have_run_error = lambda message, **fields: attempts.not_run_error(
        message, code="no_server"
    )


def _ignore_draining():
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


def _ignore_word_of_servers():
    ServerList.record_leaving = lambda servers, entry, now: False
    ServerList.merge_leaving = lambda servers, run_keys, now: False


def _forget_outcomes():
    apply = state._APPLY_BY_KIND[state.JobRecordKind.OUTCOMES]

    def apply_some(job, body):
        if len(job.outcomes) < job.total - 1:
            apply(job, body)

    state._APPLY_BY_KIND[state.JobRecordKind.OUTCOMES] = apply_some


def _keep_first_configuration():
    install = ConfigurationState.install

    def install_first(configurations, configuration, now):
        if configurations.current is not None:
            return False
        return install(configurations, configuration, now)

    ConfigurationState.install = install_first


def _complete_broken_streams():
    # The library then ends the answer as a complete one.
    request_handler.responses.CallerStream.abort = lambda stream: None


BREAKS_BY_NAME = {
    "repeat_everything": _repeat_everything,
    "deny_runs": _deny_runs,
    "ignore_draining": _ignore_draining,
    "ignore_word_of_servers": _ignore_word_of_servers,
    "forget_outcomes": _forget_outcomes,
    "keep_first_configuration": _keep_first_configuration,
    "complete_broken_streams": _complete_broken_streams,
}


def _skew_clock(milliseconds):
    true_wall_ms = Clock.wall_ms
    Clock.wall_ms = lambda clock: true_wall_ms(clock) + milliseconds


if __name__ == "__main__":
    if os.environ.get(SKEW_VARIABLE):
        _skew_clock(int(os.environ[SKEW_VARIABLE]))
    if os.environ.get(BREAK_VARIABLE):
        BREAKS_BY_NAME[os.environ[BREAK_VARIABLE]]()
    main()
