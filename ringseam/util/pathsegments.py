"""Names in the paths of calls."""

from __future__ import annotations

import re
from urllib.parse import unquote

#: A percent sign that begins no escape.
_BAD_ESCAPE = re.compile('%(?![0-9A-Fa-f]{2})')
#: A longer name is a fault of its sender, in characters.
_MAX_CHARACTERS = 255


def decode_segment(text: str) -> str:
    """Return the name that a path ends with, without escapes.

    :raises ValueError: when it is none.
    """
    if not text:
        raise ValueError('no name')
    if len(text) > _MAX_CHARACTERS:
        raise ValueError(f'a name of {len(text)} characters; {_MAX_CHARACTERS} at most')
    if '/' in text:
        raise ValueError('a name has no slash')
    if _BAD_ESCAPE.search(text):
        raise ValueError('an escape that is none')
    try:
        return unquote(text, errors='strict')
    except UnicodeDecodeError:
        raise ValueError('an escape that is no UTF-8') from None
