"""The HTTP API for callers, one module per group of routes."""

from galenascale.http_api.application import make_app
from galenascale.http_api.context import ApiContext
from galenascale.http_api.listener import start_listener

__all__ = ["ApiContext", "make_app", "start_listener"]
