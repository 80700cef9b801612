"""Authentication of messages between hosts by HMAC-SHA256.

The signature covers the method, the sender, the receiver, the time, a nonce
and the body. The receiver is included because nonces are remembered by each
host on its own. An answer is signed over the nonce of its request.
"""

import collections
import hashlib
import hmac
import secrets
from ssl import CERT_REQUIRED, PROTOCOL_TLS_CLIENT, PROTOCOL_TLS_SERVER, SSLContext

import attrs

from galenascale.errors import GalenascaleError
from galenascale.tls import load_ca, load_pair, read_pem

# Accepted difference between the clocks of two hosts. Nonces are remembered
# for twice this long, the time in which a message stays acceptable.
MAX_SKEW_MS = 30_000
MAX_NONCES = 200_000
NONCE_BYTES = 12

SENDER = "X-Peer-Sender"
TIMESTAMP = "X-Peer-Time"
NONCE = "X-Peer-Nonce"
SIGNATURE = "X-Peer-Signature"


class AuthError(GalenascaleError):
    """A message that no peer signed, or an old or repeated one."""

    code = "peer_not_authenticated"
    http_status = 401


def _sign(secret, *parts):
    """Return the hex HMAC over the parts, each preceded by its length."""
    digest = hmac.new(secret, digestmod=hashlib.sha256)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _encode(*parts):
    return [part.encode("utf-8", "surrogateescape") for part in parts]


@attrs.define
class Signer:
    """Signs and checks the messages of one host."""

    host_id: str
    secret: bytes = attrs.field(repr=False)
    clock: object
    _seen: dict = attrs.field(factory=collections.OrderedDict, repr=False)

    def sign_request(self, method, receiver, body):
        """Return the headers that authenticate a request."""
        timestamp = str(self.clock.wall_ms())
        nonce = secrets.token_hex(NONCE_BYTES)
        parts = _encode("request", method, self.host_id, receiver, timestamp, nonce)
        return {
            SENDER: self.host_id,
            TIMESTAMP: timestamp,
            NONCE: nonce,
            SIGNATURE: _sign(self.secret, *parts, body),
        }

    def check_request(self, method, headers, body):
        """Return the sender of a request; raise AuthError if it is refused."""
        sender, timestamp, nonce, signature = (
            headers.get(name, "") for name in (SENDER, TIMESTAMP, NONCE, SIGNATURE)
        )
        parts = _encode("request", method, sender, self.host_id, timestamp, nonce)
        expected = _sign(self.secret, *parts, body)
        if not hmac.compare_digest(expected.encode(), *_encode(signature)):
            raise AuthError("signature is wrong", step="authenticate")
        self._check_fresh(int(timestamp), nonce)
        return sender

    def _check_fresh(self, timestamp, nonce):
        now = self.clock.wall_ms()
        if abs(now - timestamp) > MAX_SKEW_MS:
            raise AuthError("message is too old or too new", step="authenticate")
        while self._seen and next(iter(self._seen.values())) < now:
            self._seen.popitem(last=False)
        if nonce in self._seen:
            raise AuthError("message was repeated", step="authenticate")
        if len(self._seen) >= MAX_NONCES:
            raise AuthError("too many messages", step="authenticate")
        self._seen[nonce] = now + 2 * MAX_SKEW_MS

    def sign_answer(self, request_headers, status, body):
        """Return the headers that authenticate an answer."""
        nonce = request_headers.get(NONCE, "")
        parts = _encode("answer", self.host_id, nonce, str(status))
        return {SIGNATURE: _sign(self.secret, *parts, body)}

    def check_answer(self, request_headers, peer, status, headers, body):
        """Raise AuthError unless the peer signed this answer."""
        parts = _encode("answer", peer, request_headers[NONCE], str(status))
        expected = _sign(self.secret, *parts, body)
        signature = headers.get(SIGNATURE, "")
        if not hmac.compare_digest(expected.encode(), *_encode(signature)):
            raise AuthError("signature of the answer is wrong", step="authenticate")


def make_tls_contexts(tls):
    """
    Return (server, client) SSL contexts for TlsSettings, or (None, None).

    Both sides present a certificate of the given CA. Host names are not
    compared, as hosts are reached by IP address; the HMAC names the sender.
    """
    if not tls.certificate:
        return None, None
    contexts = SSLContext(PROTOCOL_TLS_SERVER), SSLContext(PROTOCOL_TLS_CLIENT)
    certificate, private_key = read_pem(tls.certificate), read_pem(tls.private_key)
    for context in contexts:
        context.check_hostname = False
        context.verify_mode = CERT_REQUIRED
        load_pair(context, certificate, private_key)
        load_ca(context, tls.ca)
    return contexts
