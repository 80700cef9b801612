"""Data types of requests, responses and job calls."""

import enum

import attrs

from galenascale.gateway.load import hash_key

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.define
class CallerRequest:
    """A request of a caller, unchanged."""

    # Id that the caller assigned to this attempt; backend servers echo it in
    # their responses.
    request_id: str
    method: str
    # Path and query string, not normalised.
    target: str
    host: str
    # Headers to forward, without hop-by-hop headers.
    headers: Headers
    # Read once the caller is identified and may run a request.
    body: bytes = attrs.field(default=b"", repr=False)
    # Seconds from arrival until the caller times out; None if not stated.
    timeout_s: float | None = None
    # Id of the event after which a stream resumes; None for a full stream.
    resume_after: int | None = None
    # Key with which the caller identifies itself; None if there is none, and
    # empty if it is malformed or given twice.
    key: bytes | None = attrs.field(default=None, repr=False)
    # Name of the tenant; empty for a caller that needs no key, and None in a
    # configuration without tenants.
    tenant: str | None = None
    # Number of prompt tokens and limit of generated tokens; 0 if not stated.
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    # Ids of the parts of the prompt that other requests may share.
    shared_parts: tuple[str, ...] = ()
    # Version of the weights that the server must have; None for any.
    expected_version: str | None = None

    @property
    def memory_tokens(self):
        """Return the tokens of an engine's memory that it may need."""
        return self.prompt_tokens + self.max_output_tokens

    @property
    def path(self):
        """Return the target without its query string."""
        return self.target.partition("?")[0]

    @property
    def part_keys(self):
        """Return the keys of the shared parts in messages between hosts."""
        return tuple(map(hash_key, self.shared_parts))


@attrs.frozen
class ResponseHead:
    """Status and headers of a backend server's response."""

    status: int
    headers: Headers
    # Id of the answered request; empty if the response has none.
    request_id: str = ""
    # Whether the server signed the response. A success counts only with it.
    signed: bool = False
    # Whether the server states that it did not run the request.
    not_run: bool = False
    # Whether the server states that the request is for another one: its
    # address is that of the addressed one, or its weights are others.
    misdirected: bool = False
    # Whether the server is leaving and accepts no further requests.
    leaving: bool = False
    # NamedLimit of the server on its request rate; None if it names none.
    limit: object = None
    # Version of the server's weights; None if not stated.
    weights_version: int | None = None
    # Idle time in seconds after which the server closes the connection.
    keep_alive_s: float | None = None
    # Content length in bytes; None if not stated.
    length: int | None = None


@attrs.frozen
class BufferedResponse:
    """A response of a backend server that was read to its end."""

    head: ResponseHead
    body: bytes = attrs.field(repr=False)


class JobCallKind(enum.Enum):
    """Kinds of calls about a submitted job."""

    RESULTS = "results"
    ITEM_BODY = "item_body"
    END = "end"


@attrs.frozen
class JobCall:
    """A call about a submitted job."""

    kind: JobCallKind
    job_id: str
    # RESULTS: first requested position, from 0.
    position: int = 0
    # RESULTS: maximum seconds to wait for a result (long polling).
    wait_s: float = 0.0
    # ITEM_BODY: id of the item.
    item_id: str = ""


@attrs.frozen
class SubmittedItem:
    """An item of a job, as submitted."""

    item_id: str
    path: str
    headers: dict[str, str]
    body: bytes = attrs.field(repr=False)
    tokens: int = 0


@attrs.frozen
class JobSubmission:
    """A job that a caller submits."""

    job_id: str
    items: tuple[SubmittedItem, ...]


@attrs.frozen
class ItemResult:
    """The result of one item of a job."""

    item_id: str
    completed: bool
    text: bytes = attrs.field(repr=False)
