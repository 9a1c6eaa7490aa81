"""Generates incarnations: unique names of process starts."""

import uuid

HEX_DIGITS_OF_INCARNATION = 12


def new_incarnation(instance: str) -> str:
    """Returns a new incarnation for this start of a process.

    :param instance: name of the instance
    :return: a name without dots, unique over all starts
    """
    suffix = uuid.uuid4().hex[:HEX_DIGITS_OF_INCARNATION]
    return f"{instance.replace('.', '_')}-{suffix}"
