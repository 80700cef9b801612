"""Typed requests, answers and job calls of the gateway."""

import enum

import attrs

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.define
class CallerRequest:
    """One request of a caller, as its bytes came."""

    # Id that the caller gave this attempt; answers of backend servers repeat
    # it.
    request_id: str
    method: str
    # Path and query, not normalised.
    target: str
    host: str
    # Headers to pass on, without those of one connection.
    headers: Headers
    body: bytes = attrs.field(repr=False)
    # Seconds from arrival that the caller waits; None if it does not say.
    timeout_s: float | None = None
    # Event after which a stream goes on; None for a whole one.
    resume_after: int | None = None
    # Tokens of the prompt and the most to generate; 0 where not stated.
    prompt_tokens: int = 0
    max_output_tokens: int = 0

    @property
    def path(self):
        """Return the target without its query."""
        return self.target.partition("?")[0]


@attrs.frozen
class ResponseHead:
    """Status and headers of a backend server's answer."""

    status: int
    headers: Headers
    # Id of the request that it answers; empty if it says none.
    request_id: str = ""
    # The server states that it did not run the request.
    not_run: bool = False
    # The server states that it leaves and wants no further request.
    leaving: bool = False
    # Idle time in seconds after which the server closes the connection.
    keep_alive_s: float | None = None
    # Bytes of the body, if the server states them.
    length: int | None = None


@attrs.frozen
class BufferedResponse:
    """A response of a backend server that was read to its end."""

    head: ResponseHead
    body: bytes = attrs.field(repr=False)


class JobCallKind(enum.Enum):
    """Calls that concern a job that was submitted."""

    RESULTS = "results"
    ITEM_BODY = "item_body"
    END = "end"


@attrs.frozen
class JobCall:
    """One call about a job."""

    kind: JobCallKind
    job_id: str
    # RESULTS: first position that is wanted, from 0.
    position: int = 0
    # RESULTS: how long the call may wait for a result, in seconds.
    wait_s: float = 0.0
    # ITEM_BODY: id of the item.
    item_id: str = ""


@attrs.frozen
class SubmittedItem:
    """One item of a job, as it was submitted."""

    item_id: str
    path: str
    headers: dict[str, str]
    body: bytes = attrs.field(repr=False)
    tokens: int = 0


@attrs.frozen
class JobSubmission:
    """A job that a caller hands in."""

    job_id: str
    items: tuple[SubmittedItem, ...]


@attrs.frozen
class ItemResult:
    """The result of an item at its position in the job."""

    item_id: str
    completed: bool
    text: bytes = attrs.field(repr=False)
