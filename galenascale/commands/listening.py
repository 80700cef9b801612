"""Conversion of listener errors to user errors."""

import contextlib

from galenascale.errors import UserError


@contextlib.contextmanager
def translate_listen_errors():
    """Raise UserError for an address or port that cannot be used."""
    try:
        yield
    except (OSError, OverflowError) as error:
        reason = getattr(error, "strerror", None) or error
        raise UserError(f"cannot listen: {reason}", step="start") from error
