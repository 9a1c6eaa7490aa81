"""Answers that are a function of the request.

Whoever knows a prompt knows its answer, so that a crossed, repeated or
partial answer is seen by comparing.
"""

import hashlib
import typing

DIGEST_BYTES = 6


def prompt_digest(prompt: str) -> str:
    """Returns the short hash by which a prompt is known in ledgers.

    :param prompt: text of the prompt
    :return: hexadecimal digits
    """
    return hashlib.blake2b(
        prompt.encode(), digest_size=DIGEST_BYTES
    ).hexdigest()


def words_between(digest: str, first: int, end: int) -> typing.Iterator[str]:
    """Yields some words of the answer to a prompt.

    :param digest: the prompt's :func:`prompt_digest`
    :param first: index of the first word wanted
    :param end: index after the last word wanted
    :return: the words; each names its prompt and its index
    """
    for index in range(first, end):
        yield f"{digest}.{index}"


def answer_words(prompt: str, count: int) -> list[str]:
    """Returns the answer that a stand-in engine gives to a prompt.

    :param prompt: text as :func:`godwitloft.policy.prefix.prompt_text`
        gives it
    :param count: length of the answer in tokens
    :return: one word a token; the answer's text joins them with spaces
    """
    return list(words_between(prompt_digest(prompt), 0, count))
