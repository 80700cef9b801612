"""The command line of `galenascale`."""

import importlib

import cyclopts

from galenascale import __version__

# Each module is imported only when its command runs, to keep startup fast, or
# when the commands are listed with a line from each docstring.
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


_HELP_FLAGS = ("--help", "-h")


def make_cli(arguments):
    """Return the command-line application for its command-line arguments."""
    app = cyclopts.App(
        name="galenascale",
        version=__version__,
        help="Serve online and batch inference on one fleet.",
    )
    lists_commands = not arguments or arguments[0] in _HELP_FLAGS
    for name, target in _COMMANDS.items():
        app.command(_load(target) if lists_commands else target, name=name)
    return app


def _load(target):
    module, _, attribute = target.partition(":")
    return getattr(importlib.import_module(module), attribute)
