"""Answers that are computed from the prompt alone.

A test that knows the prompt can compute the expected answer, and so detects
swapped, repeated and partial answers.
"""

import hashlib
import typing

DIGEST_BYTES = 6


def prompt_digest(prompt: str) -> str:
    """Returns the short hash that identifies a prompt in ledgers.

    :param prompt: text of the prompt
    :return: hexadecimal digits
    """
    return hashlib.blake2b(
        prompt.encode(), digest_size=DIGEST_BYTES
    ).hexdigest()


def words_between(digest: str, first: int, end: int) -> typing.Iterator[str]:
    """Yields a range of words of the answer to a prompt.

    :param digest: the prompt's :func:`prompt_digest`
    :param first: index of the first word
    :param end: index after the last word
    :return: the words, each made of the prompt's digest and its index
    """
    for index in range(first, end):
        yield f"{digest}.{index}"


def answer_words(prompt: str, count: int) -> list[str]:
    """Returns the answer of a stand-in engine to a prompt.

    :param prompt: text as returned by
        :func:`godwitloft.policy.prefix.prompt_text`
    :param count: length of the answer in tokens
    :return: one word per token; the answer's text joins them with spaces
    """
    return list(words_between(prompt_digest(prompt), 0, count))
