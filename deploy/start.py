"""Starts the platform program from the copy that the build made."""

import signal
import sys
import typing


def exit_on_signal(_number: int, _frame: typing.Any) -> None:
    """Exits on SIGTERM before the program has loaded.

    There is no work to finish at that time. A second SIGTERM must not end the
    interpreter while it exits, with a status that tells of a failure.

    :param _number: signal number
    :param _frame: interrupted stack frame
    """
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    sys.exit(0)


def start() -> None:
    """Handles signals, then loads and runs the program.

    Loading takes long on a slow machine. SIGHUP, which asks for a reload of
    the settings, must not end the process meanwhile: it is ignored, since
    the settings are read after loading anyway.
    """
    signal.signal(signal.SIGTERM, exit_on_signal)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from godwitloft.platform import main

    main.main()


if __name__ == "__main__":
    start()
