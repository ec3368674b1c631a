"""Mutual TLS between daemons: both ends present a certificate of the same authority."""

import ssl
from dataclasses import dataclass

from wheatslipd.settings import TlsFiles


@dataclass(frozen=True, slots=True)
class PeerTls:
    """Server and client contexts of a daemon; both are None for plain text."""

    server: ssl.SSLContext | None = None
    client: ssl.SSLContext | None = None


def peer_tls(files: TlsFiles | None) -> PeerTls:
    """Load the contexts from PEM files; raises OSError (ssl.SSLError) if they are unusable."""
    if files is None:
        return PeerTls()
    return PeerTls(
        server=_create_context(ssl.Purpose.CLIENT_AUTH, files),
        client=_create_context(ssl.Purpose.SERVER_AUTH, files),
    )


def _create_context(purpose: ssl.Purpose, files: TlsFiles) -> ssl.SSLContext:
    context = ssl.create_default_context(purpose, cafile=str(files.authority))
    context.load_cert_chain(files.certificate, files.key)
    # IP addresses of daemons change, and the authority signs certificates of daemons only.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    return context
