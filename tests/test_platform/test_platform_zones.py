"""Zone orders of operators: decoding of valid calls and rejection of invalid ones."""

import pytest

from ringseam.followmessages import ZoneOrder
from ringseam.platform.zones import decode_zone_order, is_zone_order_path


@pytest.mark.parametrize(
    ('method', 'path', 'expected'),
    [
        ('POST', '/api/evacuate/hall-a', ZoneOrder(zone='hall-a', drained=True)),
        ('DELETE', '/api/evacuate/hall-a', ZoneOrder(zone='hall-a', drained=False)),
        ('POST', '/api/evacuate/Th%C3%A8s%20a', ZoneOrder(zone='Thès a', drained=True)),
    ],
)
def test_zone_order_is_decoded(method, path, expected):
    assert is_zone_order_path(path)
    assert decode_zone_order(method, path, b'') == expected


@pytest.mark.parametrize(
    ('path', 'body', 'finding'),
    [
        ('/api/evacuate/a', b'{}', 'no body'),
        ('/api/evacuate/', b'', 'no name'),
        ('/api/evacuate/a/b', b'', 'slash'),
        ('/api/evacuate/%', b'', 'escape'),
        ('/api/evacuate/%zz', b'', 'escape'),
        ('/api/evacuate/%ff', b'', 'UTF-8'),
        (f'/api/evacuate/{"a" * 10_000}', b'', '255 at most'),
    ],
)
def test_invalid_zone_order_is_rejected(path, body, finding):
    with pytest.raises(ValueError, match=finding):
        decode_zone_order('POST', path, body)
