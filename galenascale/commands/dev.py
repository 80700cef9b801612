"""`galenascale dev`: run a whole deployment in one process."""

import asyncio
import sys

import attrs
import orjson

from galenascale.commands.listening import translate_listen_errors
from galenascale.commands.options import LogFormat
from galenascale.commands.signals import wait_for_stop
from galenascale.embedded import EmbeddedDeployment
from galenascale.logs import setup_logging

DEFAULT_DEPLOYMENT = "examples/mutara"
# The example declarations contain URLs that result from this port.
DEFAULT_PORT = 8400


def dev(
    *,
    deployment: str = DEFAULT_DEPLOYMENT,
    port: int = DEFAULT_PORT,
    log_level: str = "warning",
    log_format: LogFormat = "text",
):
    """
    Run a deployment with stand-ins in one process until SIGTERM or SIGINT.

    One JSON line on stdout tells when it is ready and where it listens.

    Parameters
    ----------
    deployment
        Deployment directory; also searched next to the package.
    port
        Port of the first entry host; the others, the platform and the backend
        servers follow. 0 for free ports.
    log_level
        Lowest level of the log lines on stderr.
    """
    setup_logging(log_level, log_format)
    asyncio.run(_run(EmbeddedDeployment.from_directory(deployment, port)))


async def _run(embedded):
    # Installs the signal handlers first, so that a signal during startup also
    # stops the deployment gracefully.
    stopped = asyncio.create_task(wait_for_stop())
    try:
        with translate_listen_errors():
            await embedded.start()
        line = orjson.dumps(attrs.asdict(embedded.summary()))
        sys.stdout.write(line.decode() + "\n")
        sys.stdout.flush()
        await stopped
    finally:
        await embedded.stop()
