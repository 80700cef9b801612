"""Decides whether a response head answers the request that is in flight.

Backend servers name the answered request in each response and sign it. A
faulty server may send a second copy of an earlier answer, or bytes that answer
no request at all.
"""

import enum

# Statuses of final responses (RFC 9110, section 15).
FINAL_STATUSES = range(200, 600)
# Those without a body (RFC 9110, section 6.4.1).
STATUSES_WITHOUT_BODY = frozenset((204, 304))


class ResponseMatch(enum.Enum):
    """What a response head is to the request in flight."""

    # The answer of the server to this request.
    ANSWER = "answer"
    # Possibly a late copy of another answer; the answer may still follow.
    OTHER = "other"
    # Sent in place of the answer; nothing that follows can be trusted.
    SPOILED = "spoiled"


def match_response(head, request_id, *, first):
    """
    Return the ResponseMatch of a ResponseHead.

    `first` says whether the request is the first one on its connection, on
    which no copy of an earlier answer can arrive.
    """
    if head.status not in FINAL_STATUSES:
        return ResponseMatch.SPOILED
    if head.request_id != request_id:
        if first and not head.request_id:
            return ResponseMatch.SPOILED
        return ResponseMatch.OTHER
    if 200 <= head.status < 300 and not head.signed:
        return ResponseMatch.SPOILED
    return ResponseMatch.ANSWER
