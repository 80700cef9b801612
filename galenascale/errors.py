"""Exceptions of galenascale.

Every error carries a stable code, the step and the peer at which it occurred,
and what is known about the execution of the request that failed.
"""

import enum


class Execution(enum.StrEnum):
    """Whether a failed request was run, as far as is known."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    FAILED = "failed"


class GalenascaleError(Exception):
    """Base of all errors; `http_status` is the status sent to a caller."""

    code = "internal_error"
    http_status = 500
    execution = Execution.NOT_RUN

    def __init__(self, message, *, code=None, step="", peer="", execution=None):
        super().__init__(message)
        self.message = message
        self.code = code or self.code
        self.step = step
        self.peer = peer
        self.execution = execution or self.execution

    def __str__(self):
        parts = [self.message]
        if self.step:
            parts.append(f"step={self.step}")
        if self.peer:
            parts.append(f"peer={self.peer}")
        return " ".join(parts)


class UserError(GalenascaleError):
    """Invalid input, reported to the user in one line without traceback."""

    code = "invalid_input"
    http_status = 400

    def __init__(self, message, *, param=None, http_status=None, **kwargs):
        super().__init__(message, **kwargs)
        self.param = param
        self.http_status = http_status or self.http_status


class Refused(GalenascaleError):
    """A request was rejected before it ran; retry after `retry_after_s`."""

    code = "overloaded"
    http_status = 503

    def __init__(self, message, *, retry_after_s=1.0, http_status=None, **kwargs):
        super().__init__(message, **kwargs)
        self.retry_after_s = retry_after_s
        self.http_status = http_status or self.http_status


class DecodeError(GalenascaleError):
    """Bytes do not form a valid message."""

    code = "decode_error"
    http_status = 400


class PeerError(GalenascaleError):
    """A call to another host failed."""

    code = "peer_error"
    http_status = 502


class BackendError(GalenascaleError):
    """A backend server failed or rejected a request."""

    code = "backend_error"
    http_status = 502
    execution = Execution.FAILED
