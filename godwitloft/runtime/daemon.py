"""What entries and agents do alike when they start."""

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
    """Returns what writes the trace of a process.

    :param stream: where the trace goes
    :param clock: tells the time
    :param instance: name of the instance
    :param incarnation: which start of the process
    :return: a recorder; one that writes nothing when there is no stream
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
    """Returns a function that logs what another raises.

    A periodic task goes on after an error in one of its rounds.

    :param work: one round of the task
    :param task_name: for the log
    :return: a function that raises nothing
    """

    def contained() -> None:
        try:
            work()
        except Exception as error:
            events.log_error(events.INTERNAL_ERROR, error, task=task_name)

    return contained
