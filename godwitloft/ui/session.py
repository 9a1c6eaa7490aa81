"""Dependencies of a command besides its arguments."""

import dataclasses
import os
import typing
import uuid

from twisted.internet import interfaces


@dataclasses.dataclass(frozen=True)
class Session:
    """Dependencies of a command.

    :param http: a treq client
    :param scheduler: schedules progress messages and timeouts
    :param error_stream: stream for progress and error messages
    :param environment: environment variables
    :param new_id: returns a unique id for a publish
    """

    http: typing.Any
    scheduler: interfaces.IReactorTime
    error_stream: typing.TextIO
    environment: typing.Mapping[str, str] = dataclasses.field(
        default_factory=lambda: os.environ
    )
    new_id: typing.Callable[[], str] = lambda: uuid.uuid4().hex

    def print_message(self, text: str) -> None:
        """Prints a line to the error stream.

        :param text: the message
        """
        print(text, file=self.error_stream, flush=True)
