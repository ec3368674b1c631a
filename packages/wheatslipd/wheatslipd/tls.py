"""Mutual TLS between daemons: both ends show a certificate of the same authority."""

import ssl
from dataclasses import dataclass

from wheatslipd.settings import TlsFiles


@dataclass(frozen=True, slots=True)
class PeerTls:
    """The two contexts of a daemon; both None for plain text on loopback."""

    server: ssl.SSLContext | None = None
    client: ssl.SSLContext | None = None


def peer_tls(files: TlsFiles | None) -> PeerTls:
    """The contexts for a daemon's files; raises OSError (ssl.SSLError) if they are unusable."""
    if files is None:
        return PeerTls()
    return PeerTls(
        server=_context(ssl.Purpose.CLIENT_AUTH, files),
        client=_context(ssl.Purpose.SERVER_AUTH, files),
    )


def _context(purpose: ssl.Purpose, files: TlsFiles) -> ssl.SSLContext:
    context = ssl.create_default_context(purpose, cafile=str(files.authority))
    context.load_cert_chain(files.certificate, files.key)
    # Daemons are reached by IP numbers that change; the authority signs for daemons only.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    return context
