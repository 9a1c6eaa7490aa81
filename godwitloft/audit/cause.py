"""Why a request ended as it did."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Cause:
    """Why a request ended as it did.

    :param sentence: the cause in one sentence
    :param evidence: facts that support it
    """

    sentence: str
    evidence: tuple[str, ...] = ()
