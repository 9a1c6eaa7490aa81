"""Mutual TLS for links.

Both sides present a certificate of the same authority. The common name of a
certificate is the name of the instance that holds its key; a peer with
another name in its hello is refused.
"""

import dataclasses
import pathlib
import typing

from OpenSSL import crypto
from twisted.internet import ssl

from godwitloft import errors
from godwitloft import settings as settings_module


class TlsError(errors.UserError):
    """A file for TLS can't be used."""


@dataclasses.dataclass(frozen=True)
class Contexts:
    """TLS contexts of one daemon.

    :param server: for connections from peers
    :param client: for connections to peers
    """

    server: typing.Any
    client: typing.Any


def load(settings: settings_module.Tls | None) -> Contexts | None:
    """Reads keys and certificates.

    :param settings: names of the files, or None for plain TCP
    :return: the contexts, or None for plain TCP
    :raises TlsError: naming the file that can't be used
    """
    if settings is None:
        return None
    key = _load_key(settings.key_file)
    certificate = _load_certificate(settings.certificate_file)
    authority = ssl.Certificate(_load_certificate(settings.authority_file))
    options = ssl.CertificateOptions(
        privateKey=key,
        certificate=certificate,
        trustRoot=ssl.trustRootFromCertificates([authority]),
        raiseMinimumTo=ssl.TLSVersion.TLSv1_2,
    )
    return Contexts(server=options, client=options)


def peer_name(transport: typing.Any) -> str | None:
    """Returns the name in the certificate of a connection's peer.

    :param transport: of a connection
    :return: the common name, or None when the connection is plain TCP
    """
    get_certificate = getattr(transport, "getPeerCertificate", None)
    if get_certificate is None:
        return None
    certificate = get_certificate()
    if certificate is None:
        return ""
    return str(certificate.get_subject().CN or "")


def _read(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise TlsError(f"{path}: {error.strerror}") from error


def _load_key(path: str) -> typing.Any:
    try:
        return crypto.load_privatekey(crypto.FILETYPE_PEM, _read(path))
    except (crypto.Error, ValueError) as error:
        raise TlsError(
            f"{path}: is not a private key in PEM format"
        ) from error


def _load_certificate(path: str) -> typing.Any:
    try:
        return crypto.load_certificate(crypto.FILETYPE_PEM, _read(path))
    except (crypto.Error, ValueError) as error:
        raise TlsError(
            f"{path}: is not a certificate in PEM format"
        ) from error
