"""Options shared by several commands."""

import dataclasses
import pathlib
import typing
import urllib.parse

import cappa

from godwitloft import defaults
from godwitloft.ui import client
from godwitloft.ui import errors
from godwitloft.ui import session as sessions

SERVER_VARIABLE = "GODWITLOFT_SERVER"
TOKEN_VARIABLE = "GODWITLOFT_TOKEN"
MAX_TOKEN_BYTES = 4096


@dataclasses.dataclass(kw_only=True)
class OutputOptions:
    """Options of every command."""

    json: typing.Annotated[
        bool, cappa.Arg(long=True, help="Print JSON instead of text.")
    ] = False


@dataclasses.dataclass(kw_only=True)
class ServerOptions(OutputOptions):
    """Options of commands that talk to an entry."""

    server: typing.Annotated[
        list[str],
        cappa.Arg(
            long=True,
            help="URL of an entry's operator port; may be repeated, and the"
            " next is tried when one can't be reached. Default:"
            f" {SERVER_VARIABLE}, separated by commas.",
        ),
    ] = dataclasses.field(default_factory=list)
    token_file: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            help=f"File with the bearer token. Default: {TOKEN_VARIABLE}.",
        ),
    ] = ""
    timeout: typing.Annotated[
        int, cappa.Arg(long=True, help="Timeout of a call in seconds.")
    ] = defaults.OPERATOR_TIMEOUT_MS // 1000


@dataclasses.dataclass(kw_only=True)
class PublishOptions(ServerOptions):
    """Options of commands that publish."""

    reason: typing.Annotated[
        str,
        cappa.Arg(long=True, help="Why; shown in the history."),
    ]
    publish_id: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            help="Id of an earlier attempt whose outcome is unknown; it is not"
            " accepted twice.",
        ),
    ] = ""
    dry_run: typing.Annotated[
        bool,
        cappa.Arg(long=True, help="Only show what would change."),
    ] = False


def create_connection(
    command: ServerOptions, session: sessions.Session
) -> client.Connection:
    """Creates the connection of a command from its options.

    :param command: options of the command
    :param session: client, clock, streams and environment to use
    :return: servers, token and timeout; nothing is sent yet
    :raises errors.CommandError: when an option is missing or invalid
    """
    listed = session.environment.get(SERVER_VARIABLE, "").split(",")
    servers = command.server or [url.strip() for url in listed if url.strip()]
    if not servers:
        raise errors.CommandError(
            f"no entry is given: use --server or set {SERVER_VARIABLE}",
            errors.ExitCode.USAGE,
        )
    for url in servers:
        _check_url(url)
    if command.timeout < 1:
        raise errors.CommandError(
            f"option --timeout: {command.timeout} is below 1",
            errors.ExitCode.USAGE,
        )
    return client.Connection(
        servers=tuple(url.rstrip("/") for url in servers),
        token=_read_token(command, session),
        timeout_s=command.timeout,
    )


def _check_url(server: str) -> None:
    try:
        parts = urllib.parse.urlsplit(server)
        is_valid = parts.scheme in ("http", "https") and bool(parts.hostname)
        is_valid = is_valid and parts.port != 0
    except ValueError:
        is_valid = False
    if not is_valid:
        raise errors.CommandError(
            f"option --server: {server!r} is not a URL such as"
            " http://127.0.0.1:21002",
            errors.ExitCode.USAGE,
        )


def _read_token(command: ServerOptions, session: sessions.Session) -> str:
    if not command.token_file:
        token = session.environment.get(TOKEN_VARIABLE, "")
    else:
        try:
            with pathlib.Path(command.token_file).open("rb") as stream:
                content = stream.read(MAX_TOKEN_BYTES)
        except OSError as error:
            raise errors.CommandError(
                f"{command.token_file}: {error.strerror}",
                errors.ExitCode.USAGE,
            ) from error
        token = content.decode("ascii", "replace")
    token = token.strip()
    if not token or not token.isascii() or not token.isprintable():
        raise errors.CommandError(
            "no valid token: use --token-file or set " + TOKEN_VARIABLE,
            errors.ExitCode.USAGE,
        )
    return token
