"""What a connection knows of the response that it is parsing."""

import attrs


@attrs.define
class ResponseState:
    """What is known of the response that is being parsed."""

    headers: list = attrs.field(factory=list)
    has_head: bool = False
    has_length: bool = False
    # Whether it answers no request, or only says that the answer follows.
    is_skipped: bool = False
