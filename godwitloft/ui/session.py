"""What a command works with besides its arguments."""

import dataclasses
import os
import typing
import uuid

from twisted.internet import interfaces


@dataclasses.dataclass(frozen=True)
class Session:
    """The world around a command.

    :param http: a treq client
    :param scheduler: for progress and timeouts
    :param error_stream: for progress and errors
    :param environment: environment variables
    :param new_id: makes an id that no other publish has
    """

    http: typing.Any
    scheduler: interfaces.IReactorTime
    error_stream: typing.TextIO
    environment: typing.Mapping[str, str] = dataclasses.field(
        default_factory=lambda: os.environ
    )
    new_id: typing.Callable[[], str] = lambda: uuid.uuid4().hex

    def print_message(self, text: str) -> None:
        """Prints a line that is no part of the result.

        :param text: for people
        """
        print(text, file=self.error_stream, flush=True)
