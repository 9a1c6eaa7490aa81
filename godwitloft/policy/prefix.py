"""Computes keys of prompt blocks, by which equal prefixes are recognised.

Entries, agents and engines must compute the same keys, because an engine
identifies the blocks in its cache by these keys only.
"""

import hashlib
import typing

BLOCK_WORDS = 64
KEY_BYTES = 8


def prompt_text(body: typing.Mapping[str, typing.Any]) -> str:
    """Returns the prompt of a completion request as one text.

    :param body: decoded JSON of a chat or plain completion request
    :return: the messages of a chat, one per line and prefixed with the
        role, or the plain prompt; empty when the body has neither
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
    """Returns the keys of a prompt's complete blocks.

    Each key is a hash of its block and all blocks before it, so two prompts
    share the first n keys exactly when their first n blocks are equal.
    Words after the last complete block have no key.

    :param prompt: text of the prompt
    :return: signed 64-bit numbers, one per block of ``BLOCK_WORDS`` words
    """
    words = prompt.split()
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    keys = []
    for end in range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS):
        block = " ".join(words[end - BLOCK_WORDS : end])
        digest.update(block.encode() + b"\n")
        keys.append(int.from_bytes(digest.digest(), "big", signed=True))
    return tuple(keys)
