"""Subcommands of `galenascale`, one module each."""

import cyclopts

from galenascale import __version__


def make_cli():
    """Return the command-line application."""
    from galenascale.commands import apply, check, plan, serve, standin, status

    app = cyclopts.App(
        name="galenascale",
        version=__version__,
        help="Serve online and batch inference on one fleet.",
    )
    app.command(apply.apply, name="apply")
    app.command(check.check, name="check")
    app.command(plan.plan, name="plan")
    app.command(serve.serve, name="serve")
    app.command(status.status, name="status")
    app.command(standin.app, name="standin")
    return app
