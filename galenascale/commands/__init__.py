"""Subcommands of `galenascale`, one module each."""

import cyclopts

from galenascale import __version__


def make_cli():
    """Return the command-line application."""
    # Imported here, so that the package can be used without the commands.
    from galenascale.commands import (
        apply,
        batch,
        check,
        demo,
        dev,
        plan,
        serve,
        standin,
        status,
    )

    app = cyclopts.App(
        name="galenascale",
        version=__version__,
        help="Serve online and batch inference on one fleet.",
    )
    for name, command in {
        "apply": apply.apply,
        "batch": batch.app,
        "check": check.check,
        "demo": demo.demo,
        "dev": dev.dev,
        "plan": plan.plan,
        "serve": serve.serve,
        "standin": standin.app,
        "status": status.status,
    }.items():
        app.command(command, name=name)
    return app
