"""Subcommands of `galenascale`, one module each."""

import cyclopts

from galenascale import __version__


def make_cli():
    """Return the command-line application."""
    from galenascale.commands import dev, serve, standin

    app = cyclopts.App(
        name="galenascale",
        version=__version__,
        help="Serve online and batch inference on one fleet.",
    )
    app.command(serve.serve, name="serve")
    app.command(dev.dev, name="dev")
    app.command(standin.app, name="standin")
    return app
