"""Items that may have crashed a server and run alone on one.

A server that broke off takes innocent items down with it. All of them become
suspects, and only a suspect that runs alone can be told from the others.
"""

import collections


class SuspectQueue:
    """Suspects by service, with the one server that is kept for them."""

    def __init__(self):
        self._items_by_service = collections.defaultdict(collections.deque)
        self._server_by_service = {}
        self._running_by_service = {}

    def __len__(self):
        return sum(len(items) for items in self._items_by_service.values())

    def add(self, service, item):
        """Add a suspect behind those that wait."""
        self._items_by_service[service].append(item)

    def offer(self, service, server_ids):
        """Choose the server for suspects out of those with free slots."""
        if service in self._running_by_service:
            return
        if not self._items_by_service[service]:
            self._server_by_service.pop(service, None)
        elif self._server_by_service.get(service) not in server_ids and server_ids:
            self._server_by_service[service] = server_ids[0]

    def keeps(self, service, server_id):
        """Return True if other items may not start on the server."""
        return self._server_by_service.get(service) == server_id

    def take(self, service, server_id, running):
        """Return the next suspect if nothing runs on the kept server."""
        items = self._items_by_service[service]
        if running or not items or not self.keeps(service, server_id):
            return None
        item = items.popleft()
        self._running_by_service[service] = item
        return item

    def ended(self, service, item):
        """Note that the run of an item ended, if it was a suspect's."""
        if self._running_by_service.get(service) is item:
            del self._running_by_service[service]

    def drop(self, predicate):
        """Remove the waiting items for which the predicate is true."""
        for service, items in self._items_by_service.items():
            self._items_by_service[service] = collections.deque(
                item for item in items if not predicate(item)
            )
