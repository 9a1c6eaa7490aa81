"""A TLS server for one connection, without sockets."""

import datetime
import os
import pathlib
import tempfile

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid
from twisted.internet import protocol
from twisted.internet import ssl
from twisted.protocols import tls
from twisted.test import iosim

HOST = "localhost"
ROUNDS = 20
DAY = datetime.timedelta(days=1)


class Server(protocol.Protocol):
    """Answers the first bytes that arrive."""

    def __init__(self, answer):
        self.answer = answer
        self.received = b""

    def dataReceived(self, data):
        self.received += data
        self.transport.write(self.answer)
        self.transport.loseConnection()


def write_certificate(context, trusted=True):
    """Writes a certificate for :data:`HOST` and may let this process trust it.

    :return: path of the certificate and its key
    """
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, HOST)])
    now = datetime.datetime.now(datetime.UTC)
    names = x509.SubjectAlternativeName([x509.DNSName(HOST)])
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - DAY)
        .not_valid_after(now + DAY)
        .add_extension(names, False)
        .add_extension(x509.BasicConstraints(True, None), True)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    path = pathlib.Path(directory.name) / "server.pem"
    path.write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        + certificate.public_bytes(pem)
    )
    if not trusted:
        return path
    before = os.environ.get("SSL_CERT_FILE")
    os.environ["SSL_CERT_FILE"] = str(path)
    context.add_cleanup(restore_trust, before)
    return path


def restore_trust(before):
    if before is None:
        del os.environ["SSL_CERT_FILE"]
    else:
        os.environ["SSL_CERT_FILE"] = before


def exchange(reactor, client_factory, path, answer, prepare):
    """Connects a client's factory to a server and lets them talk."""
    server = Server(answer)
    server_factory = tls.TLSMemoryBIOFactory(
        ssl.DefaultOpenSSLContextFactory(str(path), str(path)),
        False,
        protocol.Factory.forProtocol(lambda: server),
        reactor,
    )
    server_protocol = server_factory.buildProtocol(None)
    client_protocol = client_factory.buildProtocol(None)
    client_transport = iosim.FakeTransport(client_protocol, False)
    prepare(client_transport)
    pump = iosim.connect(
        server_protocol,
        iosim.FakeTransport(server_protocol, True),
        client_protocol,
        client_transport,
    )
    for _ in range(ROUNDS):
        pump.flush()
        # Small writes are sent together after a moment.
        reactor.advance(0)
    return server
