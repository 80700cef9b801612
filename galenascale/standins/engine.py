"""Stand-in of a model engine over HTTP."""

import asyncio
import uuid

import orjson
from aiohttp import web


class EngineStandin:
    """Streams made-up tokens with a fixed time per decode step."""

    def __init__(self, settings):
        self.settings = settings
        self.running = 0

    @classmethod
    def from_config(cls, settings):
        """Return a stand-in with EngineStandinSettings."""
        return cls(settings)

    def make_app(self):
        """Return the aiohttp application."""
        app = web.Application()
        app.add_routes(
            [
                web.post("/v1/chat/completions", self._chat),
                web.get("/load", self._load),
            ]
        )
        return app

    async def _load(self, _):
        return web.json_response({"running": self.running})

    async def _chat(self, request):
        body = orjson.loads(await request.read())
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        request_id = f"chatcmpl-{uuid.uuid4().hex}"
        self.running += 1
        try:
            for index in range(body.get("max_tokens") or 16):
                await asyncio.sleep(self.settings.decode_step_ms / 1000)
                chunk = {
                    "id": request_id,
                    "object": "chat.completion.chunk",
                    "created": 0,
                    "model": body["model"],
                    "choices": [
                        {
                            "index": 0,
                            "delta": {"content": f"t{index} "},
                            "finish_reason": None,
                        }
                    ],
                }
                await response.write(b"data: " + orjson.dumps(chunk) + b"\n\n")
            await response.write(b"data: [DONE]\n\n")
        finally:
            self.running -= 1
        return response
