"""Names the blocks of a prompt, so that equal beginnings are recognised.

Callers' requests, agents and engines must come to the same names, because
an engine reports the blocks that it has cached by these names only.
"""

import hashlib
import typing

BLOCK_WORDS = 64
KEY_BYTES = 8


def prompt_text(body: typing.Mapping[str, typing.Any]) -> str:
    """Returns the prompt of a completion request as one text.

    :param body: decoded JSON of a chat or a plain completion request
    :return: the messages of a chat, one a line and each after its role, or
        the plain prompt; empty when the body holds neither
    """
    messages = body.get("messages")
    if not isinstance(messages, list):
        return str(body.get("prompt", ""))
    return "\n".join(
        f"{message.get('role', '')}: {message.get('content', '')}"
        for message in messages
        if isinstance(message, dict)
    )


def prefix_keys(prompt: str) -> tuple[int, ...]:
    """Returns the names of a prompt's whole blocks.

    Each name covers its block and all before, so two prompts share the
    first n names exactly when their first n blocks are equal. Words after
    the last whole block have no name.

    :param prompt: text of the prompt
    :return: signed 64-bit numbers, one a block of ``BLOCK_WORDS`` words
    """
    words = prompt.split()
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    keys = []
    for end in range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS):
        block = " ".join(words[end - BLOCK_WORDS : end])
        digest.update(block.encode() + b"\n")
        keys.append(int.from_bytes(digest.digest(), "big", signed=True))
    return tuple(keys)
