"""Calls to other entry hosts."""

import aiohttp

from galenascale import codec
from galenascale.errors import DecodeError, Execution, GalenascaleError, PeerError
from galenascale.generated.messages import PeerErrorMessage
from galenascale.peers.auth import AuthError
from galenascale.peers.server import CONTENT_TYPE, ERROR_STATUS

MAX_ANSWER_BYTES = 32 << 20


def _error_classes(base=GalenascaleError):
    """Return the classes of errors by their codes, subclasses first."""
    classes = {}
    for kind in base.__subclasses__():
        classes.update(_error_classes(kind))
    if "code" in vars(base):
        classes[base.code] = base
    return classes


def error_from_message(message):
    """
    Return the error that a remote handler raised.

    A class that this host does not know becomes a GalenascaleError with the
    same code.
    """
    kind = _error_classes().get(message.kind, GalenascaleError)
    try:
        execution = Execution(message.execution)
    except ValueError:
        execution = Execution.MAY_HAVE_RUN
    error = kind(
        message.message,
        code=message.code,
        step=message.step,
        peer=message.peer,
        execution=execution,
    )
    error.http_status = message.http_status or kind.http_status
    if message.retry_after_s:
        error.retry_after_s = message.retry_after_s
    return error


class Peers:
    """Calls methods of peers over a shared pool of connections."""

    def __init__(self, session, signer, url_of, tls=None):
        """Take a session and `url_of(host_id)`, which may return None."""
        self._session = session
        self._signer = signer
        self._url_of = url_of
        self._tls = tls
        # Tests cut hosts off with it: True for a peer fails calls to it.
        self.blocked = lambda host_id: False
        # Called with (host id) after a refused connection.
        self.on_refused = lambda host_id: None

    async def call(self, host_id, method, message, reply_type, timeout_s):
        """
        Return the peer's reply of the given type.

        Raise what the remote handler raised if that is a GalenascaleError,
        else PeerError, whose execution is `may_have_run` once the request may
        have reached the peer.
        """
        url = self._url_of(host_id)
        if url is None:
            raise PeerError("peer has no known URL", step="connect", peer=host_id)
        if self.blocked(host_id):
            raise PeerError("peer cannot be reached", step="connect", peer=host_id)
        body = codec.encode(message)
        headers = self._signer.sign_request(method, host_id, body)
        status, answer = await self._post(
            host_id, f"{url.rstrip('/')}/peer/{method}", body, headers, timeout_s
        )
        kind = PeerErrorMessage if status == ERROR_STATUS else reply_type
        try:
            reply = codec.decode(kind, answer)
        except DecodeError as error:
            raise _lost(host_id, error.message) from error
        if status == ERROR_STATUS:
            raise error_from_message(reply)
        return reply

    async def _post(self, host_id, url, body, headers, timeout_s):
        try:
            async with self._session.post(
                url,
                data=body,
                headers={**headers, "Content-Type": CONTENT_TYPE},
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                ssl=self._tls if self._tls is not None else True,
                allow_redirects=False,
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            ) as response:
                return await self._read(host_id, response, headers)
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                self.on_refused(host_id)
            raise PeerError(
                f"peer cannot be reached: {error}", step="connect", peer=host_id
            ) from error
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise _lost(host_id, f"no answer from peer: {error!r}") from error

    async def _read(self, host_id, response, headers):
        if response.status not in (200, ERROR_STATUS):
            raise _lost(host_id, f"peer answered with status {response.status}")
        length = response.content_length
        if length is None or length > MAX_ANSWER_BYTES:
            raise _lost(host_id, "answer has no acceptable length")
        answer = await response.read()
        try:
            self._signer.check_answer(
                headers, host_id, response.status, response.headers, answer
            )
        except AuthError as error:
            raise _lost(host_id, error.message) from error
        return response.status, answer


def _lost(host_id, message):
    """Return the error for a call whose outcome at the peer is not known."""
    return PeerError(
        message, step="call", peer=host_id, execution=Execution.MAY_HAVE_RUN
    )
