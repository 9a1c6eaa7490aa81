"""Starts the program of the platform from the copy that the build made."""

import signal
import sys
import typing


def exit_on_signal(_number: int, _frame: typing.Any) -> None:
    """Ends a process that has nothing to finish yet.

    :param _number: of the signal
    :param _frame: where the process was
    """
    sys.exit(0)


def start() -> None:
    """Handles signals, then loads and runs the program.

    Loading takes long on a slow machine. A process that is told to reload
    its settings meanwhile must not end: it reads them afterwards anyway.
    """
    signal.signal(signal.SIGTERM, exit_on_signal)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from godwitloft.platform import main

    main.main()


if __name__ == "__main__":
    start()
