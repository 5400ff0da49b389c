"""TLS of the caller and administration listeners."""

from __future__ import annotations

import ssl

import httpx
import pytest
import trustme

from radishshunt.errors import SettingsError
from radishshunt.http_server import tls_context
from radishshunt.settings import TlsSection

from .conftest import FIRST_NOTE, TOKEN


@pytest.fixture(scope="module")
def authority() -> trustme.CA:
    """Return a certificate authority."""
    return trustme.CA()


@pytest.fixture
def server_files(authority, tmp_path, loopback) -> dict:
    """Return a TLS section whose certificate is valid for all loopback addresses of the tests."""
    prefix = loopback().rsplit(".", 2)[0]
    names = [f"{prefix}.{a}.{b}" for a in (100, 101) for b in range(1, 251)]
    cert = authority.issue_cert(*names)
    cert.private_key_pem.write_to_path(tmp_path / "key.pem")
    (tmp_path / "cert.pem").write_bytes(cert.cert_chain_pems[0].bytes())
    authority.cert_pem.write_to_path(tmp_path / "ca.pem")
    return {"certificate": str(tmp_path / "cert.pem"), "key": str(tmp_path / "key.pem")}


def _context(authority: trustme.CA, client: trustme.LeafCert | None = None) -> ssl.SSLContext:
    context = ssl.create_default_context()
    authority.configure_trust(context)
    if client is not None:
        client.configure_cert(context)
    return context


async def test_callers_over_tls(open_system, authority, server_files) -> None:
    """Guards against a listener that accepts plain HTTP although TLS is configured."""
    async with open_system(callers_tls=server_files) as system:
        address = system.hosts[0].cfg.callers.address
        async with httpx.AsyncClient(verify=_context(authority)) as client:
            resp = await client.get(
                f"https://{address}/", headers={"Radishshunt-Service": "permits"}
            )
            assert (resp.status_code, resp.json()["reason"]) == (404, "unknown-service")
            large = await client.post(
                f"https://{address}/",
                headers={"Radishshunt-Service": "permits"},
                content=b"x" * 9_000_000,
            )
            assert large.status_code == 413
            with pytest.raises(httpx.HTTPError):
                await client.get(f"http://{address}/")


async def test_admin_over_mutual_tls(open_system, authority, server_files, tmp_path) -> None:
    """Guards against accepting client certificates of other certificate authorities."""
    tls = {**server_files, "client_ca": str(tmp_path / "ca.pem")}
    other = trustme.CA()
    async with open_system(tls=tls) as system:
        trusted = _context(authority, authority.issue_cert("operator@example.org"))
        async with httpx.AsyncClient(verify=trusted, base_url=system.admin) as client:
            resp = await client.post("/v1/releases", content=FIRST_NOTE)
            assert resp.json()["version"] == 1
        for client_cert in (None, other.issue_cert("operator@example.org")):
            untrusted = _context(authority, client_cert)
            async with httpx.AsyncClient(verify=untrusted, base_url=system.admin) as client:
                with pytest.raises(httpx.HTTPError):
                    await client.get("/v1/status")


async def test_token_is_required_with_mutual_tls(
    open_system, authority, server_files, tmp_path
) -> None:
    """Guards against mutual TLS that makes the configured bearer token optional."""
    tls = {**server_files, "client_ca": str(tmp_path / "ca.pem")}
    async with open_system(tls=tls, token=TOKEN) as system:
        trusted = _context(authority, authority.issue_cert("operator@example.org"))
        async with httpx.AsyncClient(verify=trusted, base_url=system.admin) as client:
            assert (await client.get("/v1/status")).status_code == 401
            headers = {"Authorization": f"Bearer {TOKEN}"}
            assert (await client.get("/v1/status", headers=headers)).status_code == 200


def test_unreadable_certificate_file_is_named(tmp_path) -> None:
    """Guards against a traceback instead of an error that names the missing certificate file."""
    section = TlsSection(certificate=tmp_path / "none.pem", key=tmp_path / "none.key")
    with pytest.raises(SettingsError, match="none.pem"):
        tls_context(section)
