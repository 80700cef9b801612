"""Requests and responses of the engine stand-in in OpenAI's format."""

import asyncio
import time
import uuid

import attrs
import orjson

from galenascale.errors import UserError
from galenascale.standins.engine_model import Stream
from galenascale.standins.engine_text import completion_text, token_text

DEFAULT_MAX_TOKENS = 16
CHAT = "/v1/chat/completions"
COMPLETIONS = "/v1/completions"


@attrs.frozen
class ModelName:
    """Model reference NAME[@VERSION][:ADAPTER] of a request."""

    name: str
    version: str = ""
    adapter: str = ""

    @classmethod
    def parse(cls, text):
        """Parse a model reference; absent parts are empty."""
        base, _, adapter = text.partition(":")
        name, _, version = base.partition("@")
        return cls(name, version, adapter)


@attrs.frozen
class EngineRequest:
    """A validated completion request."""

    request_id: str
    endpoint: str
    # Model reference as sent, which the response repeats.
    model_text: str
    model: ModelName
    prompt: str
    max_tokens: int
    stream: bool
    include_usage: bool
    first_token: int
    resumed_text: str

    @classmethod
    def parse(cls, endpoint, body, request_id):
        """Validate a JSON body; raise UserError if it is bad."""
        model_text = _typed(body, "model", str, required=True)
        named = ModelName.parse(model_text)
        model = ModelName(
            named.name,
            _typed(body, "version", str) or named.version,
            _typed(body, "adapter", str) or named.adapter,
        )
        resume = _typed(body, "resume_from", dict) or {}
        first_token = _typed(resume, "tokens", int) or 0
        max_tokens = _max_tokens(body)
        if body.get("n") not in (None, 1):
            raise UserError("n must be 1", param="n")
        if not 0 <= first_token < max_tokens:
            raise UserError(
                "resume_from.tokens must be below max_tokens", param="resume_from"
            )
        options = _typed(body, "stream_options", dict) or {}
        return cls(
            request_id=request_id or uuid.uuid4().hex,
            endpoint=endpoint,
            model_text=model_text,
            model=model,
            prompt=_prompt(endpoint, body),
            max_tokens=max_tokens,
            stream=bool(_typed(body, "stream", bool)),
            include_usage=bool(options.get("include_usage")),
            first_token=first_token,
            resumed_text=_typed(resume, "text", str) or "",
        )

    def to_stream(self, version):
        """Return a queued Stream for the model version that serves it."""
        names = (self.model.name, version, self.model.adapter)
        return Stream.from_prompt(
            self.request_id, self.prompt, self.max_tokens, names, self.first_token
        )


def _typed(body, name, kind, required=False):
    value = body.get(name)
    if value is None and not required:
        return None
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise UserError(f"{name} must be a {kind.__name__}", param=name)
    return value


def _max_tokens(body):
    value = _typed(body, "max_completion_tokens", int)
    if value is None:
        value = _typed(body, "max_tokens", int)
    if value is None:
        return DEFAULT_MAX_TOKENS
    if value < 1:
        raise UserError("max_tokens must be positive", param="max_tokens")
    return value


def _prompt(endpoint, body):
    if endpoint == COMPLETIONS:
        return _typed(body, "prompt", str, required=True)
    messages = _typed(body, "messages", list, required=True)
    if not all(isinstance(message, dict) for message in messages):
        raise UserError("messages must be objects", param="messages")
    return "\n".join(
        f"{message.get('role')}: {_content(message.get('content'))}"
        for message in messages
    )


def _content(content):
    if isinstance(content, str):
        return content
    return orjson.dumps(content, option=orjson.OPT_SORT_KEYS).decode()


def usage(stream):
    """Return OpenAI's usage object; completion tokens include resumed ones."""
    return {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": stream.generated,
        "total_tokens": stream.prompt_tokens + stream.generated,
        "prompt_tokens_details": {
            "cached_tokens": min(stream.cached_tokens, stream.prompt_tokens)
        },
    }


def completion_response(request, stream, finish_reason):
    """Return the JSON object of a response that is not streamed."""
    text = completion_text(stream.digest, stream.first_token, stream.generated)
    choice = {"index": 0, "finish_reason": finish_reason, "logprobs": None}
    if request.endpoint == CHAT:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": f"cmpl-{request.request_id}",
        "object": "chat.completion" if request.endpoint == CHAT else "text_completion",
        "created": int(time.time()),
        "model": request.model_text,
        "choices": [choice],
        "usage": usage(stream),
    }


class BufferedCompletion:
    """Response that is sent as a whole when the completion ends."""

    def __init__(self):
        self.finished = asyncio.get_running_loop().create_future()

    def add_token(self, stream, index, finish_reason):
        """Handle one token; a finish reason ends the response."""
        if finish_reason:
            self.finish(finish_reason)

    def disconnect(self, transport):
        """Reset the connection instead of sending the response."""
        transport.abort()

    def finish(self, finish_reason):
        """End the response."""
        if not self.finished.done():
            self.finished.set_result(finish_reason)


class StreamedCompletion(BufferedCompletion):
    """
    Response that sends each token as a server-sent event.

    After the headers are sent, the decode loop writes directly to the
    transport, which avoids waking the handler for each token.
    """

    def __init__(self, request):
        super().__init__()
        self._request = request
        head = {
            "id": f"cmpl-{request.request_id}",
            "object": "chat.completion.chunk"
            if request.endpoint == CHAT
            else "text_completion",
            "created": int(time.time()),
            "model": request.model_text,
        }
        self._event_prefix = orjson.dumps(head)[:-1]
        content = (
            b'"delta":{"content":"%b"}' if request.endpoint == CHAT else b'"text":"%b"'
        )
        self._event = (
            b'data: %b,"token_index":%d,"choices":[{"index":0,'
            + content
            + b',"finish_reason":%b}]}\n\n'
        )
        self._buffered_events = []
        self._transport = None
        self._disconnected = False
        self.started = asyncio.Event()

    def encode_event(self, index, text, finish_reason):
        """Return the encoded event of one token."""
        reason = b'"%b"' % finish_reason.encode() if finish_reason else b"null"
        return self._event % (self._event_prefix, index, text.encode(), reason)

    def encode_usage_event(self, stream):
        """Return the encoded event with the usage, which ends a response."""
        tail = orjson.dumps({"choices": [], "usage": usage(stream)})[1:]
        return b"data: %b,%b\n\n" % (self._event_prefix, tail)

    def add_token(self, stream, index, finish_reason):
        """Send one token, or buffer it until the headers are sent."""
        if self._disconnected:
            return
        data = self.encode_event(index, token_text(stream.digest, index), finish_reason)
        if self._transport is None:
            self._buffered_events.append(data)
            self.started.set()
        else:
            self._transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        if finish_reason:
            self.finish(finish_reason)

    def disconnect(self, transport):
        """
        Close the connection after sending the tokens so far.

        A reset would discard tokens that the client has not read yet, so the
        number of received tokens would depend on the load of the machine.
        """
        self._disconnected = True
        self.started.set()
        if self._transport is not None:
            self._transport.close()

    def finish(self, finish_reason):
        """End the response."""
        self.started.set()
        super().finish(finish_reason)

    async def send_to(self, response, transport):
        """Send the response until its end and return the finish reason."""
        await self.started.wait()
        # The first write sends the headers. More tokens may be buffered
        # during each write.
        while self._buffered_events:
            data, self._buffered_events = b"".join(self._buffered_events), []
            await response.write(data)
        self._transport = transport
        if self._disconnected:
            transport.close()
        return await self.finished


@attrs.define
class TokenSink:
    """Destination of a stream's tokens, with the faults to inject."""

    completion: BufferedCompletion
    transport: asyncio.Transport
    crashes: bool
    # Index of the token at which the connection is cut; -1 for never.
    disconnect_at: int

    @classmethod
    def from_request(cls, faults, parsed, completion, transport):
        """
        Return the sink of a request.

        The fault drop_answer disconnects a streamed response at the middle
        token, and any other at the last token.
        """
        last = parsed.max_tokens - 1
        disconnect_at = (parsed.first_token + last) // 2 if parsed.stream else last
        return cls(
            completion,
            transport,
            faults.crashes(parsed.prompt),
            disconnect_at if faults.drop_answer else -1,
        )
