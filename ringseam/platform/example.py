"""Example manifest for the demo, in the provider's format."""

from __future__ import annotations

import msgspec

HOST = 'demo.example'
KEY = 'demo-client-key'
#: Path prefixes of a plain route and of a streaming route that runs one stage first.
PLAIN_PATH = '/signal/'
STAGED_PATH = '/report/'
PLAIN_SERVICE = 'signals'
STAGE_SERVICE = 'crops'
ENGINE_SERVICE = 'writers'


def example_manifest() -> bytes:
    """Return a manifest with both routes, their services and one client account."""
    return msgspec.json.encode(
        {
            'version': 1,
            'routes': [
                _route('signal', PLAIN_PATH, 'non_idempotent', PLAIN_SERVICE),
                {
                    **_route('report', STAGED_PATH, 'stream', ENGINE_SERVICE),
                    'resumable': True,
                    'stages': [{'service': STAGE_SERVICE, 'after': [], 'bytes': 1000}],
                },
            ],
            'services': [
                {'name': PLAIN_SERVICE},
                {'name': ENGINE_SERVICE},
                {
                    'name': STAGE_SERVICE,
                    'pieces': {
                        'slots': 1,
                        'batch': 4,
                        'call_ms': 20,
                        'item_ms': 5,
                        'room_mb': 1,
                        'handle_s': 4,
                    },
                },
            ],
            'tenants': [{'name': 'demo', 'api_keys': [KEY]}],
        },
    )


def _route(name: str, path: str, kind: str, service: str) -> dict[str, object]:
    return {
        'name': name,
        'host': HOST,
        'path_prefix': path,
        'kind': kind,
        'timeout_ms': 5000,
        'slo_ms': 2000,
        'max_attempts': 2,
        'service': service,
    }
