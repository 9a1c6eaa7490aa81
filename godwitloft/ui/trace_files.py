"""Reads trace and log files for ``audit``, ``explain`` and ``replay``."""

import pathlib
import typing

from godwitloft.ui import errors
from godwitloft.ui import session as sessions

MAX_LINE_BYTES = 1024 * 1024
LARGE_FILE_BYTES = 16 * 1024 * 1024


def read_lines(
    paths: typing.Iterable[str], session: sessions.Session
) -> typing.Iterator[str]:
    """Yields the lines of files, one file after the other.

    :param paths: files to read
    :param session: prints a message for large files, which take a while
    :return: lines without their newline; empty lines are skipped
    :raises errors.CommandError: when a file can't be read
    """
    for _path, line in read_named_lines(paths, session):
        yield line


def read_named_lines(
    paths: typing.Iterable[str], session: sessions.Session
) -> typing.Iterator[tuple[str, str]]:
    """Yields the lines of files, each with the name of its file.

    :param paths: files to read
    :param session: prints a message for large files, which take a while
    :return: file names and lines without their newline
    :raises errors.CommandError: when a file can't be read
    """
    for path in paths:
        try:
            for line in _read_file(pathlib.Path(path), session):
                yield path, line
        except OSError as error:
            raise errors.CommandError(
                f"{path}: {error.strerror}", errors.ExitCode.USAGE
            ) from error


def _read_file(
    file: pathlib.Path, session: sessions.Session
) -> typing.Iterator[str]:
    with file.open("rb") as stream:
        size = file.stat().st_size
        if size > LARGE_FILE_BYTES:
            session.print_message(f"reading {file}: {size} bytes")
        number = 0
        while content := stream.readline(MAX_LINE_BYTES + 1):
            number += 1
            if len(content) > MAX_LINE_BYTES:
                raise errors.CommandError(
                    f"{file}: line {number} exceeds {MAX_LINE_BYTES} bytes",
                    errors.ExitCode.USAGE,
                )
            line = content.decode("utf-8", "replace").strip()
            if line:
                yield line
