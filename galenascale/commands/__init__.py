"""Subcommands of `galenascale`, one module each."""

import cyclopts

from galenascale import __version__

# Each module is imported only when its command runs, to keep startup fast.
_COMMANDS = {
    "apply": "galenascale.commands.apply:apply",
    "batch": "galenascale.commands.batch:app",
    "check": "galenascale.commands.check:check",
    "demo": "galenascale.commands.demo:demo",
    "dev": "galenascale.commands.dev:dev",
    "gateway": "galenascale.commands.gateway:gateway",
    "plan": "galenascale.commands.plan:plan",
    "serve": "galenascale.commands.serve:serve",
    "standin": "galenascale.commands.standin:app",
    "status": "galenascale.commands.status:status",
}


def make_cli():
    """Return the command-line application."""
    app = cyclopts.App(
        name="galenascale",
        version=__version__,
        help="Serve online and batch inference on one fleet.",
    )
    for name, target in _COMMANDS.items():
        app.command(target, name=name)
    return app
