"""Tests of TLS on the caller listener."""

import asyncio
import datetime
import ipaddress
import ssl

import aiohttp
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from galenascale.clock import FakeClock
from galenascale.errors import UserError
from galenascale.generated.messages import TlsSettings
from galenascale.tls import (
    RELOAD_INTERVAL_S,
    ReloadedTls,
    ServerTls,
    make_client_context,
    make_peer_contexts,
)
from test.loopback import api


def make_pair(name):
    """Return (certificate, private key) as PEM for 127.0.0.1."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .sign(key, hashes.SHA256())
    )
    private = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    return certificate.public_bytes(
        serialization.Encoding.PEM
    ).decode(), private.decode()


async def status(session, url, certificate):
    """Return the status of /healthz for a client that trusts a certificate."""
    trusted = make_client_context(TlsSettings(ca=certificate))
    async with session.get(f"{url}/healthz", ssl=trusted) as response:
        return response.status


async def test_listener_takes_changed_files(tmp_path):
    """Guards against certificates that expire although files were renewed."""
    (first, first_key), (second, second_key) = make_pair("first"), make_pair("second")
    paths = tmp_path / "certificate.pem", tmp_path / "key.pem"
    paths[0].write_text(first)
    paths[1].write_text(first_key)
    clock = FakeClock()
    tls = ServerTls(TlsSettings(*map(str, paths)), clock)
    async with api(tls_context=tls.context) as (session, url, _):
        assert await status(session, url, first) == 200
        assert tls.reload() is False
        paths[0].write_text(second)
        # The key does not fit yet, so the first pair stays in use.
        assert tls.reload() is False
        assert await status(session, url, first) == 200
        paths[1].write_text(second_key)
        watch = asyncio.create_task(tls.run())
        await clock.advance(RELOAD_INTERVAL_S)
        watch.cancel()
        assert await status(session, url, second) == 200
        with pytest.raises(Exception, match="CERTIFICATE_VERIFY_FAILED"):
            await status(session, url, first)


async def test_pem_text_and_client_certificates():
    """Guards settings that hold the PEM text, and the check of clients."""
    certificate, key = make_pair("text")
    tls = ServerTls(TlsSettings(certificate, key, certificate), FakeClock())
    assert tls.context.verify_mode == ssl.CERT_REQUIRED
    async with api(tls_context=tls.context) as (session, url, _):
        client = make_client_context(TlsSettings(certificate, key, certificate))
        async with session.get(f"{url}/healthz", ssl=client) as response:
            assert response.status == 200


async def test_peers_take_changed_files_and_demand_certificates(tmp_path):
    """Guards both sides of calls between hosts against old certificates."""
    pairs = make_pair("first"), make_pair("second")
    paths = tmp_path / "certificate.pem", tmp_path / "key.pem"
    settings = TlsSettings(*map(str, paths), "".join(pair[0] for pair in pairs))
    [path.write_text(text) for path, text in zip(paths, pairs[0], strict=True)]
    contexts = make_peer_contexts(settings)
    tls = ReloadedTls(settings, FakeClock(), contexts)
    async with api(tls_context=contexts[0]) as (session, url, _):
        with pytest.raises(aiohttp.ClientError):
            await status(session, url, settings.ca)
        for name, pair in zip(("first", "second"), pairs, strict=True):
            [path.write_text(text) for path, text in zip(paths, pair, strict=True)]
            assert tls.reload() == (name == "second")
            port = int(url.rpartition(":")[2])
            _, writer = await asyncio.open_connection(
                "127.0.0.1", port, ssl=contexts[1]
            )
            shown = writer.get_extra_info("peercert")
            writer.close()
            assert shown["subject"] == ((("commonName", name),),)


@pytest.mark.parametrize("bad", [0, 1, 2])
def test_unusable_settings_are_refused(tmp_path, bad):
    """Guards against a host that starts without the TLS it was told to use."""
    certificate, key = make_pair("bad")
    values = [certificate, key, certificate]
    values[bad] = str(tmp_path / "absent.pem")
    with pytest.raises(UserError, match=r"absent\.pem"):
        ServerTls(TlsSettings(*values), FakeClock())
    values[bad] = "-----BEGIN JUNK-----"
    with pytest.raises(UserError, match="cannot be used"):
        ServerTls(TlsSettings(*values), FakeClock())


def test_changed_ca_is_trusted_beside_the_earlier_one(tmp_path):
    """Guards a rollover of the CA without a restart of the hosts."""
    (first, key), (second, _) = make_pair("first"), make_pair("second")
    ca = tmp_path / "ca.pem"
    ca.write_text(first)
    settings = TlsSettings(first, key, str(ca))
    contexts = make_peer_contexts(settings)
    tls = ReloadedTls(settings, FakeClock(), contexts)
    ca.write_text("no certificate")
    assert tls.reload() is False
    ca.write_text(second)
    assert tls.reload() is True
    for context in contexts:
        names = {item["subject"][0][0][1] for item in context.get_ca_certs()}
        assert names == {"first", "second"}
