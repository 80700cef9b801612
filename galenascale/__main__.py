"""Entry point of the `galenascale` command."""

import sys

from galenascale.commands import make_cli
from galenascale.errors import GalenascaleError


def main(argv=None):
    """Run the command line; user errors end with one line and exit code 2."""
    try:
        return make_cli()(argv)
    except GalenascaleError as error:
        print(f"galenascale: {error.message}", file=sys.stderr)
        return sys.exit(2)


if __name__ == "__main__":
    main()
