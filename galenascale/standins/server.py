"""HTTP server of the stand-ins, with faults such as crashes and hangs."""

import asyncio

import attrs
import orjson
from aiohttp import web

from galenascale.clock import Clock
from galenascale.errors import UserError
from galenascale.logs import get_logger
from galenascale.settings_files import structure

log = get_logger("standin")

MAX_BODY_BYTES = 16_000_000
# Keeps requests that hang because of a fault from delaying stop().
SHUTDOWN_TIMEOUT_S = 0.2
# Pause before another attempt to bind the port after a crash.
REBIND_RETRY_S = 0.05
FAULTS_PATH = "/faults"


@attrs.define
class ServerFaults:
    """Faults of a backend server; PUT /faults sets all of them at once."""

    # Text in a prompt or body that crashes the server; empty to disable.
    crash_on: str = ""
    restart_after_s: float = 1.0
    hang: bool = False
    # Factor by which all processing times are multiplied.
    slow: float = 1.0
    leave: bool = False
    drop_answer: bool = False
    load_lag_s: float | None = None

    def __attrs_post_init__(self):
        if self.slow <= 0 or self.restart_after_s < 0 or (self.load_lag_s or 0) < 0:
            raise ValueError("slow must be positive and times not negative")

    def crashes(self, text):
        """Return whether a prompt or body contains the text `crash_on`."""
        return bool(self.crash_on) and self.crash_on in text


def json_response(value, status=200, headers=None):
    """Return a JSON response."""
    return web.Response(
        body=orjson.dumps(value),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def error_response(status, code, message, headers=None):
    """Return an error in OpenAI's format, with a top-level code as well."""
    error = {"message": message, "type": "server_error", "code": code}
    return json_response({"code": code, "error": error}, status, headers)


async def read_json(request):
    """Return the JSON object in a request body; raise UserError if bad."""
    try:
        value = orjson.loads(await request.read())
    except orjson.JSONDecodeError as error:
        raise UserError(f"body is not valid JSON: {error}") from error
    if not isinstance(value, dict):
        raise UserError("body must be a JSON object")
    return value


@web.middleware
async def user_error_middleware(request, handler):
    """Convert a UserError into an error response, such as status 400."""
    try:
        return await handler(request)
    except UserError as error:
        return error_response(error.http_status, error.code, error.message)


class StandinServer:
    """Base class of the stand-ins: HTTP server, faults, crash and restart."""

    # Whether a closed connection cancels the handler of its request.
    cancels_on_disconnect = False
    faults_type = ServerFaults

    def __init__(self, settings, clock=None):
        self.settings = settings
        self.clock = clock or Clock()
        self.faults = self.faults_type()
        self.faults_changed = asyncio.Event()
        self.port = settings.port
        # Number of starts; work from before a crash must have no effect.
        self.incarnation = 0
        self.is_listening = False
        self._runner = None
        self._listener = None
        self._tasks = set()

    @classmethod
    def from_config(cls, settings, clock=None):
        """Return a stand-in with the given settings; start() starts it."""
        return cls(settings, clock)

    @property
    def url(self):
        """Base URL of the server."""
        return f"http://{self.settings.listen_address}:{self.port}"

    def routes(self):
        """Return all routes except PUT /faults."""
        raise NotImplementedError

    def make_app(self):
        """Return the aiohttp application."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES,
            middlewares=[user_error_middleware, self.hold_blocked_requests],
        )
        app.add_routes([*self.routes(), web.put(FAULTS_PATH, self._put_faults)])
        return app

    async def start(self):
        """Start listening; sets `port` if a free one was requested."""
        self._runner = web.AppRunner(
            self.make_app(),
            handler_cancellation=self.cancels_on_disconnect,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            access_log=None,
        )
        await self._runner.setup()
        await self._listen()

    async def stop(self):
        """Stop listening, close all connections and cancel all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._listener is not None:
            self._listener.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def run_in_background(self, coroutine):
        """Run a coroutine as a task that stop() cancels."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _listen(self):
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._runner.server, self.settings.listen_address, self.port
        )
        self.port = self._listener.sockets[0].getsockname()[1]
        self.incarnation += 1
        self.is_listening = True

    def crash(self):
        """Reset all connections and stop listening until the restart."""
        if not self.is_listening:
            return
        log.warning(
            "%s crashed by an injected fault.",
            getattr(self.settings, "server_id", "stand-in"),
        )
        self.is_listening = False
        self._listener.close()
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self.reset()
        self.run_in_background(self._restart(self.faults.restart_after_s))

    async def _restart(self, after_s):
        await self.clock.sleep(after_s)
        while True:
            try:
                return await self._listen()
            except OSError as error:
                log.warning("Cannot bind the port after a crash, retrying: %s.", error)
                await self.clock.sleep(REBIND_RETRY_S)

    def reset(self):
        """Discard the state that does not survive a crash."""

    @web.middleware
    async def hold_blocked_requests(self, request, handler):
        """Delay the requests that a fault blocks, except PUT /faults."""
        while request.path != FAULTS_PATH and self.is_blocked(request):
            await self.faults_changed.wait()
        return await handler(request)

    def is_blocked(self, request):
        """Return whether a fault currently blocks a request."""
        return self.faults.hang

    def apply_faults(self):
        """Apply changed faults to the state of the stand-in."""

    async def _put_faults(self, request):
        value = await read_json(request)
        self.faults = structure(value, self.faults_type, "faults")
        self.apply_faults()
        changed, self.faults_changed = self.faults_changed, asyncio.Event()
        changed.set()
        return json_response(attrs.asdict(self.faults))


def query_integer(query, name, default):
    """Return a non-negative integer parameter; raise UserError if bad."""
    try:
        value = int(query.get(name, default))
    except ValueError as error:
        raise UserError(f"{name} must be an integer", param=name) from error
    if value < 0:
        raise UserError(f"{name} must not be negative", param=name)
    return value
