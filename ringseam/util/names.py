"""Bounds of names that messages from outside may hold."""

from __future__ import annotations

import re

#: Maximum number of characters of a name.
MAX_NAME_CHARACTERS = 255
_CONTROL_CHARACTER = re.compile(r'[\x00-\x1f\x7f]')
#: What a header value and a segment of a path may hold without an escape.
_VISIBLE_ASCII = re.compile('[!-~]+')


def has_control_characters(text: str) -> bool:
    """Return whether a text holds control characters, which no header value contains."""
    return _CONTROL_CHARACTER.search(text) is not None


def checked_name(text: str, *, field: str, may_be_empty: bool = False) -> str:
    """Return a text that may be a name in headers, logs, metrics and messages.

    :param field: what it names, for the finding.
    :raises ValueError: if it is too long, or empty, or has control characters.
    """
    if not (text or may_be_empty):
        raise ValueError(f'{field} is empty')
    if len(text) > MAX_NAME_CHARACTERS:
        raise ValueError(f'{field} has {len(text)} characters; {MAX_NAME_CHARACTERS} at most')
    if has_control_characters(text):
        raise ValueError(f'{field} has control characters')
    return text


def checked_segment(text: str) -> str:
    """Return the name in a path, which is sent in headers as it was received.

    :raises ValueError: if it is too long or not of visible ASCII characters.
    """
    if len(text) > MAX_NAME_CHARACTERS or not _VISIBLE_ASCII.fullmatch(text):
        raise ValueError('the name in the path is too long, or not of visible ASCII characters')
    return text
