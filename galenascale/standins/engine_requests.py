"""Requests and answers of the engine stand-in in OpenAI's format."""

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
    """What a request names: NAME, NAME@VERSION, each also with :ADAPTER."""

    name: str
    version: str = ""
    adapter: str = ""

    @classmethod
    def parse(cls, text):
        """Return the parts of a name."""
        base, _, adapter = text.partition(":")
        name, _, version = base.partition("@")
        return cls(name, version, adapter)


@attrs.frozen
class EngineRequest:
    """A checked request."""

    request_id: str
    endpoint: str
    # The model as the request names it, which the answer repeats.
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
        """Return the request of a JSON body; raise UserError for others."""
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
        """Return the stream for the model, with the version that serves it."""
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
    """Return OpenAI's usage; resumed tokens count as completion tokens."""
    return {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": stream.generated,
        "total_tokens": stream.prompt_tokens + stream.generated,
        "prompt_tokens_details": {
            "cached_tokens": min(stream.cached_tokens, stream.prompt_tokens)
        },
    }


def completion_response(request, stream, finish_reason):
    """Return the JSON object of an answer that is not streamed."""
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
    """TokenSink that waits for the end of the answer."""

    def __init__(self):
        self.finished = asyncio.get_running_loop().create_future()

    def add(self, stream, index, finish_reason):
        """Take one token."""
        if finish_reason:
            self.end(finish_reason)

    def disconnect(self, transport):
        """Reset the connection before the answer is written."""
        transport.abort()

    def end(self, finish_reason):
        """End the answer."""
        if not self.finished.done():
            self.finished.set_result(finish_reason)


class StreamedCompletion(BufferedCompletion):
    """
    TokenSink that writes each token as one event.

    The decode loop writes straight to the transport once the headers are out,
    which saves waking the handler for each token.
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
        self._head = orjson.dumps(head)[:-1]
        content = (
            b'"delta":{"content":"%b"}' if request.endpoint == CHAT else b'"text":"%b"'
        )
        self._event = (
            b'data: %b,"token_index":%d,"choices":[{"index":0,'
            + content
            + b',"finish_reason":%b}]}\n\n'
        )
        self._waiting = []
        self._transport = None
        self._disconnected = False
        self.started = asyncio.Event()

    def event(self, index, text, finish_reason):
        """Return one event with the text of a token."""
        reason = b'"%b"' % finish_reason.encode() if finish_reason else b"null"
        return self._event % (self._head, index, text.encode(), reason)

    def usage_event(self, stream):
        """Return the event that ends an answer with its usage."""
        tail = orjson.dumps({"choices": [], "usage": usage(stream)})[1:]
        return b"data: %b,%b\n\n" % (self._head, tail)

    def add(self, stream, index, finish_reason):
        """Write one token, or keep it until the headers are out."""
        if self._disconnected:
            return
        data = self.event(index, token_text(stream.digest, index), finish_reason)
        if self._transport is None:
            self._waiting.append(data)
            self.started.set()
        else:
            self._transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        if finish_reason:
            self.end(finish_reason)

    def disconnect(self, transport):
        """
        Close the connection once the tokens so far are written.

        A reset would drop those that the caller has not read yet, so that the
        place of the break would depend on the load of the machine.
        """
        self._disconnected = True
        self.started.set()
        if self._transport is not None:
            self._transport.close()

    def end(self, finish_reason):
        """End the answer."""
        self.started.set()
        super().end(finish_reason)

    async def relay_to(self, response, transport):
        """Write the answer until its end and return the finish reason."""
        await self.started.wait()
        # The headers go out with the first write; tokens come during each.
        while self._waiting:
            data, self._waiting = b"".join(self._waiting), []
            await response.write(data)
        self._transport = transport
        if self._disconnected:
            transport.close()
        return await self.finished


@attrs.define
class TokenSink:
    """Where the tokens of a stream go, and the faults that befall it."""

    answer: BufferedCompletion
    transport: asyncio.Transport
    crashes: bool
    # Index of the token at which the connection is reset; -1 for none.
    disconnect_at: int

    @classmethod
    def from_request(cls, faults, parsed, answer, transport):
        """Return the sink; a streamed answer is dropped in its middle."""
        last = parsed.max_tokens - 1
        disconnect_at = (parsed.first_token + last) // 2 if parsed.stream else last
        return cls(
            answer,
            transport,
            faults.crashes(parsed.prompt),
            disconnect_at if faults.drop_answer else -1,
        )
