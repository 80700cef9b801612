"""The HTTP API for callers."""

from galenascale.http_api.app import make_app

__all__ = ["make_app"]
