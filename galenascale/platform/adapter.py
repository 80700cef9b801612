"""Entry point of the platform package for the gateway."""

import aiohttp
import attrs

from galenascale.gateway.sockets import BoundedSocket, set_dead_peer_options
from galenascale.platform import configuration, headers, jobs, servers
from galenascale.platform.store import StoreClient

# Idle seconds after which connections to the store are closed.
STORE_IDLE_S = 8.0


@attrs.frozen
class StoreNames:
    """Topics and keys of the store that are written by the platform."""

    configuration_topic: str = configuration.CONFIGURATION_TOPIC
    configuration_key: str = configuration.CONFIGURATION_KEY
    servers_topic: str = servers.SERVERS_TOPIC


class Dialect:
    """Translation between the platform's formats and the gateway's types."""

    decode_configuration = staticmethod(configuration.decode_configuration)
    describes_configuration = staticmethod(configuration.describes_configuration)
    parse_request = staticmethod(headers.parse_request)
    build_backend_headers = staticmethod(headers.build_backend_headers)
    build_item_headers = staticmethod(headers.build_item_headers)
    check_item = staticmethod(headers.check_item)
    parse_expected_version = staticmethod(headers.parse_expected_version)
    parse_output_tokens = staticmethod(headers.parse_output_tokens)
    parse_shared_parts = staticmethod(headers.parse_shared_parts)
    parse_response_head = staticmethod(headers.parse_response_head)
    parse_job_call = staticmethod(jobs.parse_job_call)
    parse_submission = staticmethod(jobs.parse_submission)
    encode_results = staticmethod(jobs.encode_results)

    def __init__(self):
        self.decode_server = servers.ServerDecoder().decode


class PlatformAdapter:
    """Creates the components of a gateway that depend on the platform."""

    def __init__(self):
        self.dialect = Dialect()
        self.names = StoreNames()

    def make_session(self):
        """Return the HTTP session for calls of the store and other hosts."""
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=STORE_IDLE_S, socket_factory=_make_socket
        )
        return aiohttp.ClientSession(
            connector=connector,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    def make_store(self, settings, session):
        """Return the client of the store."""
        return StoreClient.from_config(settings, session)


def _make_socket(address_info):
    family, kind, protocol, _, _ = address_info
    sock = BoundedSocket(family, kind, protocol)
    sock.setblocking(False)
    set_dead_peer_options(sock)
    return sock
