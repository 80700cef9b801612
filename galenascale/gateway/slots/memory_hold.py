"""The server that a pool leaves to a request which lacks memory elsewhere."""

import attrs


@attrs.define
class MemoryHold:
    """Holds at most one server until its memory has room for a request."""

    # SlotRequest that the server is held for, and the key of the server; both
    # None if none is held.
    request: object = None
    server_key: int | None = None

    def is_for(self, request):
        """Return True if a server is held for this request."""
        return self.request is not None and self.request.run_id == request.run_id

    def set(self, request, server_key):
        """Hold a server for a request."""
        self.request = request
        self.server_key = server_key

    def release_unless_in(self, queues):
        """Leave the server to all once its request is in no queue."""
        held = self.request
        if held is not None and not any(held.run_id in queue for queue in queues):
            self.set(None, None)

    def keeps_from(self, key, request):
        """Return True if a server is held for another request."""
        if self.request is None or key != self.server_key or self.is_for(request):
            return False
        # No request waits for an item.
        return request.batch or not self.request.batch
