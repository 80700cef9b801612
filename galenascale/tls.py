"""TLS contexts from settings that hold file paths or PEM text."""

import contextlib
import os
import ssl
from pathlib import Path

from galenascale.errors import UserError
from galenascale.logs import get_logger

log = get_logger("tls")

PEM_MARK = "-----BEGIN"
# Certificates are replaced days before they expire.
RELOAD_INTERVAL_S = 30.0


def read_pem(value):
    """Return the PEM text of a setting: the text itself or that of a file."""
    if PEM_MARK in value:
        return value
    try:
        return Path(value).read_text()
    except (OSError, ValueError) as error:
        raise UserError(f"{value}: cannot be read: {error}", step="tls") from error


def load_pair(context, certificate, private_key):
    """Load PEM texts into a context; raise UserError if they don't fit."""
    with contextlib.ExitStack() as stack:
        # The ssl module reads certificates and keys only from files; these
        # have no name in a file system and never reach a disk.
        paths = []
        for text in (certificate, private_key):
            file = stack.enter_context(os.fdopen(os.memfd_create("pem"), "w"))
            file.write(text)
            file.flush()
            paths.append(f"/proc/self/fd/{file.fileno()}")
        try:
            context.load_cert_chain(*paths)
        except (ssl.SSLError, OSError) as error:
            raise UserError(
                f"certificate and private key cannot be used: {error}", step="tls"
            ) from error


def make_server_context(tls):
    """Return an SSLContext for callers; `ca` demands certificates of them."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    load_pair(context, read_pem(tls.certificate), read_pem(tls.private_key))
    if tls.ca:
        load_ca(context, tls.ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_context(tls):
    """Return an SSLContext that trusts `ca` and presents the certificate."""
    context = ssl.create_default_context()
    if tls.ca:
        load_ca(context, tls.ca)
    if tls.certificate:
        load_pair(context, read_pem(tls.certificate), read_pem(tls.private_key))
    return context


def load_ca(context, ca):
    """Load the CA of a setting; raise UserError if it cannot be used."""
    try:
        context.load_verify_locations(cadata=read_pem(ca))
    except ssl.SSLError as error:
        raise UserError(f"CA cannot be used: {error}", step="tls") from error


def make_peer_contexts(tls):
    """
    Return (server, client) SSL contexts for TlsSettings, or (None, None).

    Both sides present a certificate of the given CA. Host names are not
    compared, as hosts are reached by IP address; the HMAC names the sender.
    """
    if not tls.certificate:
        return None, None
    contexts = (
        ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER),
        ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT),
    )
    for context in contexts:
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        load_pair(context, read_pem(tls.certificate), read_pem(tls.private_key))
        load_ca(context, tls.ca)
    return contexts


class ReloadedTls:
    """
    Contexts whose certificates are read again when their files change.

    A changed CA is trusted beside the earlier one, so that hosts with
    certificates of either work together during a rollover; the earlier one is
    dropped at the next start.
    """

    def __init__(self, tls, clock, contexts):
        self._tls = tls
        self._clock = clock
        self._loaded = self._read()
        self._contexts = contexts

    def _read(self):
        tls = self._tls
        ca = read_pem(tls.ca) if tls.ca else ""
        return read_pem(tls.certificate), read_pem(tls.private_key), ca

    async def run(self):
        """Look for changed files until cancelled."""
        while True:
            await self._clock.sleep(RELOAD_INTERVAL_S)
            self.reload()

    def reload(self):
        """
        Use changed files for new connections and return whether they were.

        Files that cannot be used, such as a certificate whose key is not yet
        in place, leave the earlier ones in force.
        """
        try:
            texts = self._read()
            if texts == self._loaded:
                return False
            # A failed load may leave a context with a mismatched pair.
            self._load([ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)], *texts)
            self._load(self._contexts, *texts)
        except UserError as error:
            log.warning("Kept the earlier certificate: %s.", error)
            return False
        self._loaded = texts
        log.info("Installed a changed certificate.")
        return True

    def _load(self, contexts, certificate, private_key, ca):
        for context in contexts:
            load_pair(context, certificate, private_key)
            if ca:
                load_ca(context, ca)


class ServerTls(ReloadedTls):
    """The reloaded context of the callers' listener."""

    def __init__(self, tls, clock):
        self.context = make_server_context(tls)
        super().__init__(tls, clock, [self.context])
