"""Listener for calls of other entry hosts: POST /peer/METHOD."""

import asyncio

import attrs
from aiohttp import web

from galenascale import codec
from galenascale.errors import GalenascaleError, UserError
from galenascale.generated.messages import PeerErrorMessage
from galenascale.logs import get_logger
from galenascale.peers.auth import SENDER, AuthError

log = get_logger("peers")

DEFAULT_MAX_BODY_BYTES = 8 << 20
BODY_TIMEOUT_S = 10.0

# Time for running handlers after the listener has closed; aiohttp's default
# of 60 s would hold up a stop for one call that hangs.
CLOSE_TIMEOUT_S = 2.0
CONTENT_TYPE = "application/x-thrift"
# Marks an answer whose body is a PeerErrorMessage.
ERROR_STATUS = 500


@attrs.frozen
class Method:
    """A handler `async (sender, message) -> reply` and its types."""

    request_type: type
    reply_type: type
    handler: object


class PeerServer:
    """Dispatches authenticated calls to handlers by method name."""

    def __init__(self, signer, tls=None, max_body_bytes=DEFAULT_MAX_BODY_BYTES):
        self._signer = signer
        self._tls = tls
        self._max_body_bytes = max_body_bytes
        self._methods_by_name = {}
        # Tests cut hosts off with it: True for a sender drops its requests.
        self.blocked = lambda sender: False
        self.port = None

    def register(self, name, request_type, reply_type, handler):
        """Serve a method with a handler `async (sender, message) -> reply`."""
        if name in self._methods_by_name:
            raise ValueError(f"peer method {name!r} is registered twice")
        self._methods_by_name[name] = Method(request_type, reply_type, handler)

    async def start(self, stack, address, port):
        """Listen until the exit stack closes."""
        app = web.Application(client_max_size=self._max_body_bytes)
        app.router.add_post("/peer/{method}", self._serve)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=CLOSE_TIMEOUT_S)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, address, port, ssl_context=self._tls)
        await site.start()
        self.port = runner.addresses[0][1]

    async def _serve(self, request):
        if self.blocked(request.headers.get(SENDER, "")):
            request.transport.abort()
            return web.Response(status=503)
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            return web.Response(status=413)
        except (TimeoutError, OSError, web.RequestPayloadError):
            return web.Response(status=400)
        try:
            answer = await self._call(request, body)
        except AuthError as error:
            log.warning("Refused a message from %s: %s.", request.remote, error)
            return web.Response(status=error.http_status)
        except GalenascaleError as error:
            return self._failure(request, error)
        except Exception as error:
            log.exception("Method %s failed.", request.match_info["method"])
            return self._failure(
                request, GalenascaleError(repr(error), execution="may_have_run")
            )
        return self._respond(request, 200, answer)

    async def _call(self, request, body):
        name = request.match_info["method"]
        sender = self._signer.check_request(name, request.headers, body)
        method = self._methods_by_name.get(name)
        if method is None:
            raise UserError(
                f"peer method {name!r} does not exist",
                code="unknown_method",
                http_status=404,
            )
        message = codec.decode(method.request_type, body)
        reply = await method.handler(sender, message)
        if not isinstance(reply, method.reply_type):
            raise TypeError(f"{name} replied with {type(reply).__name__}")
        return codec.encode(reply)

    def _failure(self, request, error):
        message = PeerErrorMessage(
            kind=type(error).code,
            code=error.code,
            message=error.message,
            step=error.step,
            peer=error.peer or self._signer.host_id,
            execution=str(error.execution),
            http_status=error.http_status,
            retry_after_s=getattr(error, "retry_after_s", 0.0),
        )
        return self._respond(request, ERROR_STATUS, codec.encode(message))

    def _respond(self, request, status, body):
        headers = self._signer.sign_answer(request.headers, status, body)
        return web.Response(
            status=status, body=body, headers=headers, content_type=CONTENT_TYPE
        )
