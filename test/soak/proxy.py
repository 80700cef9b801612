"""TCP proxy on loopback that harms the connections through it."""

import asyncio
import contextlib
import enum

from test.gateway.fleet import until

PIECE_BYTES = 65536


class Harm(enum.Enum):
    """What happens to the bytes of a direction or to a connection."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    # Bytes towards the server, or back, are dropped.
    CUT_FORTH = "cut_forth"
    CUT_BACK = "cut_back"
    # Bytes of both directions are dropped and new connections hang.
    SILENT = "silent"


class Proxy:
    """Passes connections on to one address; harms can change at any time."""

    def __init__(self, target):
        self._target = target
        self.harm = Harm.NONE
        self.delay_s = 0.1
        self.address = ""
        self._writers = set()
        self._tasks = set()

    async def start(self, host="127.0.0.1"):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def stop(self):
        """Close the listener and all connections."""
        self._server.close()
        self.set(Harm.RESET)
        if self._tasks:
            await asyncio.wait(self._tasks)

    def set(self, harm):
        """Change the harm; a reset ends the open connections at once."""
        self.harm = harm
        if harm is Harm.RESET:
            self.reset_all()

    def reset_all(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self._writers.add(writer)
        other = None
        try:
            await until(lambda: self.harm is not Harm.SILENT)
            if self.harm is Harm.RESET:
                return
            host, port = self._target.rsplit(":", 1)
            other_reader, other = await asyncio.open_connection(host, int(port))
            self._writers.add(other)
            pumps = [
                asyncio.ensure_future(self._pump(reader, other, Harm.CUT_FORTH)),
                asyncio.ensure_future(self._pump(other_reader, writer, Harm.CUT_BACK)),
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
        except OSError:
            # The server is down; the caller sees its connection end.
            return
        finally:
            for end in filter(None, (writer, other)):
                self._writers.discard(end)
                with contextlib.suppress(OSError):
                    end.close()
            self._tasks.discard(asyncio.current_task())

    async def _pump(self, reader, writer, cut):
        with contextlib.suppress(OSError):
            while data := await reader.read(PIECE_BYTES):
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(self.delay_s)
                if self.harm in (cut, Harm.SILENT):
                    # Lost for good, as on a link that is cut.
                    continue
                writer.write(data)
                await writer.drain()
