"""Decoding of names in URL paths."""

from __future__ import annotations

import re
from urllib.parse import unquote

#: A percent sign that does not start a valid escape.
_BAD_ESCAPE = re.compile('%(?![0-9A-Fa-f]{2})')
#: Maximum length of an encoded name; longer ones are rejected.
_MAX_CHARACTERS = 255


def decode_segment(text: str) -> str:
    """Decode the percent-encoded last segment of a path.

    :raises ValueError: if it is not a valid name.
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
