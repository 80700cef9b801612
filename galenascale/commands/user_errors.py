"""The end of a command after a user error."""

import sys

EXIT_BAD_INPUT = 2


def exit_with_error(message):
    """Print an error on one line of stderr and exit with EXIT_BAD_INPUT."""
    line = " ".join(message.split())
    print(f"galenascale: {line}", file=sys.stderr)
    sys.exit(EXIT_BAD_INPUT)
