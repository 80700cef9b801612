"""Entry point of the `galenascale` command."""

import signal
import sys

# The platform may say at any moment that settings changed. Until the command
# has its own handler that must not end a host which is still starting.
if sys.argv[1:2] == ["gateway"]:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import cyclopts  # noqa: E402

from galenascale.commands.cli import make_cli  # noqa: E402
from galenascale.commands.user_errors import exit_with_error  # noqa: E402
from galenascale.errors import GalenascaleError  # noqa: E402


def main(argv=None):
    """Run the command line; user errors end with one line and exit code 2."""
    arguments = sys.argv[1:] if argv is None else argv
    try:
        cli = make_cli(arguments)
        return cli(arguments, exit_on_error=False, print_error=False)
    except GalenascaleError as error:
        return exit_with_error(error.message)
    except cyclopts.CycloptsError as error:
        return exit_with_error(str(error))


if __name__ == "__main__":
    main()
