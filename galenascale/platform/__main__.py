"""
Runs the gateway host that the platform has configured.

`python3 -m galenascale.platform` does what `galenascale gateway` does with the
settings file that the platform names, but does not load the command line's
modules: after a loss of power, callers wait for the start of the hosts.
"""

import os
import signal

# The platform may say at any moment that settings changed. Until the host has
# its own handler that must not end it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from galenascale.commands.gateway import gateway  # noqa: E402
from galenascale.commands.user_errors import exit_with_error  # noqa: E402
from galenascale.errors import GalenascaleError  # noqa: E402

SETTINGS_VARIABLE = "GALENASCALE_NODE_FILE"


def main():
    """Run the host; a user error ends it with one line and exit code 2."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        exit_with_error(f"environment variable {SETTINGS_VARIABLE} is not set")
    try:
        gateway(settings=path)
    except GalenascaleError as error:
        exit_with_error(error.message)


if __name__ == "__main__":
    main()
