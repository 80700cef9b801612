"""Requests for slots and the order in which they are served."""

import attrs


@attrs.define
class SlotRequest:
    """A host's request for a slot, for one online request or batch item."""

    host: str
    number: int
    batch: bool = False
    # Latest start in monotonic seconds with which the first event of an online
    # request or the end of a batch item still comes by its deadline.
    start_by: float = float("inf")
    # Keys of servers that must not be granted.
    avoid: frozenset = frozenset()
    # Whether the online request was refused before and its caller retries it.
    returned: bool = False
    # Whether the pool may refuse the request if it would start too late.
    refusable: bool = False
    # Whether the owner of another pool forwarded the request.
    forwarded: bool = False
    # Monotonic time in seconds at which its host stops waiting.
    give_up_at: float = float("inf")
    # Monotonic time in seconds of the host's last message about the request.
    seen_at: float = 0.0
    # Monotonic time in seconds at which its first message arrived.
    queued_at: float = 0.0
    # Key of the tenant; 0 if there are no tenants.
    tenant: int = 0
    # Tokens that the run is to generate; 0 if unknown.
    tokens: int = 0
    # Tokens of an engine's memory that the run may need; 0 if unknown.
    memory_tokens: int = 0

    @property
    def run_id(self):
        """Return the key of the run that needs the slot."""
        return (self.host, self.number)

    def should_return(self, starts_at):
        """Return True if it may be refused and would start too late."""
        refusable = self.refusable and not self.returned
        return refusable and starts_at > self.start_by


def queue_order(request, now, excess=0.0):
    """
    Return the sort key of a request among those of its kind.

    Requests within the share of their tenant, whose `excess` is 0, precede the
    others. Then those that can still start in time precede those that are late
    anyway, and within both groups come retries of refused requests first and
    then the earliest `start_by`.
    """
    return (
        excess,
        request.start_by < now,
        not request.returned,
        request.start_by,
        request.run_id,
    )


class WaitQueue:
    """
    Waiting requests of one kind, either online or batch.

    `find_excess` returns how far requests exceed their tenants' shares, by run
    id, for a list of them.
    """

    def __init__(self, find_excess):
        self._by_run_id = {}
        self._find_excess = find_excess

    def __len__(self):
        return len(self._by_run_id)

    def __iter__(self):
        return iter(self._by_run_id.values())

    def __contains__(self, run_id):
        """Return True if the request of a run waits."""
        return run_id in self._by_run_id

    def contains(self, request):
        """Return True if this request object is in the queue."""
        return self._by_run_id.get(request.run_id) is request

    def add(self, request):
        """Add a request, or replace the earlier one of the same run."""
        known = self._by_run_id.get(request.run_id)
        request.queued_at = request.seen_at if known is None else known.queued_at
        self._by_run_id[request.run_id] = request

    def remove(self, run_id):
        """Drop a request; return True if it waited."""
        return self._by_run_id.pop(run_id, None) is not None

    def in_order(self, now):
        """Return all requests in the order in which they are served."""
        return self.ranked(now)[0]

    def ranked(self, now):
        """
        Return the requests in order, and how far some exceed their shares.

        The latter has the requests beyond the shares of their tenants, by run
        id.
        """
        requests = sorted(
            self._by_run_id.values(), key=lambda request: queue_order(request, now)
        )
        excess = self._find_excess(requests)
        if excess:
            requests.sort(
                key=lambda request: queue_order(
                    request, now, excess.get(request.run_id, 0.0)
                )
            )
        return requests, excess

    def place(self, place, servers, now):
        """
        Remove the requests for which there is a place; return the decisions.

        `place` returns the decisions on a request, none without a place, and
        `servers` are the ServerSlots. A request that may go to any server and
        finds no place shows that those behind it find none either, unless it
        lacks memory alone. Owners of full pools decide often, so these are
        skipped. A server is held for the oldest of those that lack memory.
        """
        decisions = []
        lacking = []
        full = full_for_forwarded = False
        for request in self.in_order(now):
            is_full = full or (full_for_forwarded and request.forwarded)
            if is_full and not servers.are_within(request.avoid):
                continue
            new_decisions = place(request, now)
            if new_decisions:
                self.remove(request.run_id)
                decisions += new_decisions
            elif servers.lacks_memory(request):
                lacking.append(request)
            elif not request.avoid:
                full_for_forwarded = True
                full = full or not request.forwarded
        if lacking:
            servers.hold_memory(min(lacking, key=lambda request: request.start_by))
        return decisions

    def take_displaced(self, requests, excess, forecast, now):
        """
        Remove the requests beyond shares that others make late.

        `requests` and `excess` are those of `ranked`. Return pairs of a
        request and its forecast wait in seconds.
        """
        displaced = []
        ahead = 1
        for request in requests if excess else ():
            wait_s = forecast.wait_s(ahead)
            if request.run_id in excess and request.should_return(now + wait_s):
                self.remove(request.run_id)
                displaced.append((request, wait_s))
            else:
                ahead += 1
        return displaced

    def expire(self, unseen_since):
        """Drop requests that their hosts have not renewed since a time."""
        for run_id, request in list(self._by_run_id.items()):
            if request.seen_at < unseen_since:
                del self._by_run_id[run_id]
