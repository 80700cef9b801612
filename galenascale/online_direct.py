"""Online requests sent to the first server of their service, without retry."""

import contextlib

from galenascale.errors import Refused


class DirectOnline:
    """Streams each request from one server."""

    def __init__(self, config, engine_client):
        self._config = config
        self._engine_client = engine_client

    async def complete(self, request):
        """Yield the Chunks of the answer; raise Refused without a server."""
        config = self._config.current
        service_name = config.models_by_name[request.model].service_name
        for server in config.servers_by_id.values():
            if server.service_name == service_name:
                break
        else:
            raise Refused(
                f"service {service_name!r} has no backend server",
                code="no_backend_server",
                step="route",
            )
        async with contextlib.aclosing(
            self._engine_client.stream(server, request, attempt=1)
        ) as chunks:
            async for chunk in chunks:
                yield chunk
