"""Tests of the keys of tenants and operators."""

import hashlib
import hmac
import types

import pytest

from galenascale import key_table
from galenascale.configuration import Configuration
from galenascale.errors import UserError
from galenascale.generated.messages import TenantDeclaration
from galenascale.key_table import KeyTable, key_digest
from galenascale.tenants import Tenants

TENANTS = 2600


@pytest.fixture(scope="module")
def installed():
    """Return Tenants at the target size, two keys each."""
    declarations = {
        f"team-{number}": TenantDeclaration(
            name=f"team-{number}",
            key_digests=[key_digest(f"key-{number}"), key_digest(f"new-{number}")],
        )
        for number in range(TENANTS)
    }
    result = Tenants([key_digest("operator")])
    result.install(Configuration(tenants_by_id=declarations))
    return result


def test_each_key_finds_its_own_tenant(installed):
    """Guards against requests that count for another tenant."""
    for number in range(TENANTS):
        for key in (f"key-{number}", f"new-{number}"):
            assert installed.tenant_of(f"Bearer {key}") == f"team-{number}"


@pytest.mark.parametrize(
    ("header", "code"),
    [
        (None, "missing_api_key"),
        ("", "missing_api_key"),
        ("Bearer ", "missing_api_key"),
        ("Basic key-1", "missing_api_key"),
        ("Bearer key-x", "invalid_api_key"),
        ("Bearer operator", "invalid_api_key"),
        ("Bearer " + key_digest("key-1"), "invalid_api_key"),
        ("Bearer \udcff", "invalid_api_key"),
        ("Bearer " + "k" * 600, "invalid_api_key"),
    ],
)
def test_wrong_keys_are_refused(installed, header, code):
    """Guards against access without a key, by digest or as an operator."""
    with pytest.raises(UserError) as caught:
        installed.tenant_of(header)
    assert (caught.value.code, caught.value.http_status) == (code, 401)


def test_operator_keys_are_apart(installed):
    """Guards operator calls against tenant keys."""
    installed.check_operator("Bearer operator")
    with pytest.raises(UserError) as caught:
        installed.check_operator("Bearer key-1")
    assert caught.value.code == "invalid_operator_key"


def test_every_lookup_does_the_same_work(monkeypatch):
    """Guards against times that tell known keys or tenants apart."""
    compared = []

    def compare(expected, digest):
        compared.append((len(expected), len(digest)))
        return hmac.compare_digest(expected, digest)

    table = KeyTable({"a": [key_digest("one")], "b": ["junk", "", "ab" * 31]})
    assert len(table) == 1
    recorder = types.SimpleNamespace(compare_digest=compare)
    monkeypatch.setattr(key_table, "hmac", recorder)
    size = hashlib.sha256().digest_size
    assert table.find(b"one") == "a"
    assert table.find(b"two") is None
    assert compared == [(size, size)] * 2
