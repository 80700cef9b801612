"""TCP proxy on loopback that impairs the connections through it."""

import asyncio
import contextlib
import enum

from test.gateway.fleet import until

READ_BYTES = 65536


class Impairment(enum.Enum):
    """Impairment of the connections through a proxy."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    # Bytes to the server, or to the caller, are dropped.
    DROP_TO_SERVER = "cut_forth"
    DROP_TO_CALLER = "cut_back"
    # Bytes of both directions are dropped and new connections hang.
    SILENT = "silent"


class Proxy:
    """Forwards connections to one address, impaired as set last."""

    def __init__(self, target):
        self._target = target
        self.impairment = Impairment.NONE
        self.delay_s = 0.1
        self.address = ""
        self._writers = set()
        self._tasks = set()

    async def start(self, host="127.0.0.1"):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._handle_connection, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def stop(self):
        """Close the listener and all connections."""
        self._server.close()
        self.set_impairment(Impairment.RESET)
        if self._tasks:
            await asyncio.wait(self._tasks)

    def set_impairment(self, impairment):
        """Change the impairment; RESET also resets the open connections."""
        self.impairment = impairment
        if impairment is Impairment.RESET:
            self.reset_connections()

    def reset_connections(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _handle_connection(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self._writers.add(writer)
        upstream_writer = None
        try:
            await until(lambda: self.impairment is not Impairment.SILENT)
            if self.impairment is Impairment.RESET:
                return
            host, port = self._target.rsplit(":", 1)
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._writers.add(upstream_writer)
            forwards = [
                asyncio.ensure_future(
                    self._forward(reader, upstream_writer, Impairment.DROP_TO_SERVER)
                ),
                asyncio.ensure_future(
                    self._forward(upstream_reader, writer, Impairment.DROP_TO_CALLER)
                ),
            ]
            await asyncio.wait(forwards, return_when=asyncio.FIRST_COMPLETED)
            for forward in forwards:
                forward.cancel()
        except OSError:
            # The server is down; the caller sees its connection end.
            return
        finally:
            for stream in filter(None, (writer, upstream_writer)):
                self._writers.discard(stream)
                with contextlib.suppress(OSError):
                    stream.close()
            self._tasks.discard(asyncio.current_task())

    async def _forward(self, reader, writer, dropped):
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.impairment is Impairment.DELAY:
                    await asyncio.sleep(self.delay_s)
                if self.impairment in (dropped, Impairment.SILENT):
                    # Dropped without a retransmission, as on a severed link.
                    continue
                writer.write(data)
                await writer.drain()
