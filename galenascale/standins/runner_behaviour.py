"""How the stand-in for a backend server answers."""

import attrs

from galenascale.standins.endless_response import EndlessResponse


@attrs.define
class Behaviour:
    """Response behaviour of a runner; tests change it at run time."""

    # Number of events in a stream, and seconds between them.
    events: int = 5
    event_interval_s: float = 0.01
    # Body of a response that is not streamed, and seconds until it is sent.
    body: bytes = b"done"
    # Other bodies, by target.
    body_by_path: dict = attrs.field(factory=dict)
    processing_time_s: float = 0.0
    status: int = 200
    # Respond with 503 without running the request.
    refuse: bool = False
    # Close the connection after the request or some events, or reset it.
    close_without_response: bool = False
    disconnect_after_events: int | None = None
    reset: bool = False
    # Send no Content-Length; the response ends when the connection closes.
    omit_content_length: bool = False
    # The same on a connection that stays open, for a status without a body.
    omit_length: bool = False
    # Send this many bytes of the head of each response, and close.
    cut_head_at: int | None = None
    # Bytes sent after each response.
    trailing_bytes: bytes = b""
    # Stop listening and reset the connection when a request arrives.
    crash: bool = False
    # The same, and listen again after some seconds, at a request with this
    # part in its prompt; see crash_downtime_s.
    crash_part: str | None = None
    crash_downtime_s: float = 0.5
    # Never respond.
    hang: bool = False
    # Include the id of the request in each response and event.
    echo_request_id: bool = False
    # Send the header Server-Leaving with each response.
    leaving: bool = False
    # Values of the header Server-Limit, sent with each response.
    limits: tuple[str, ...] = ()
    # Version of the weights, named in each response; requests that expect
    # another one are not run.
    weights: int | None = None
    # Sent instead of the usual response.
    endless: EndlessResponse | None = None
