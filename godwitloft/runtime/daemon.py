"""Start-up functions shared by entries and agents."""

import sys
import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft import settings as settings_module
from godwitloft import trace


def make_recorder(
    stream: settings_module.TraceStream,
    clock: clocks.Clock,
    instance: str,
    incarnation: str,
) -> trace.Recorder:
    """Returns the trace recorder of a process.

    :param stream: where to write the trace
    :param clock: source of the time
    :param instance: name of the instance
    :param incarnation: name of this start of the process
    :return: a recorder; it writes nothing if there is no stream
    """
    if stream is settings_module.TraceStream.NONE:
        return trace.NullRecorder()
    to_stdout = stream is settings_module.TraceStream.STDOUT
    output = sys.stdout if to_stdout else sys.stderr

    def write(line: str) -> None:
        print(line, file=output, flush=True)

    return trace.Recorder(clock, instance, incarnation, write)


def contain(
    work: typing.Callable[[], None], task_name: str
) -> typing.Callable[[], None]:
    """Wraps a function so that it logs exceptions instead of raising them.

    A periodic task continues after an error in one of its rounds.

    :param work: one round of the task
    :param task_name: for the log
    :return: a function that never raises an exception
    """

    def contained() -> None:
        try:
            work()
        except Exception as error:
            events.log_error(events.INTERNAL_ERROR, error, task=task_name)

    return contained
