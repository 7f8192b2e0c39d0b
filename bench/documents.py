"""Bytes and time of a change of routes: ``python -m bench.documents``."""

from __future__ import annotations

import time

from ringseam.documents import apply_delta, encode_delta
from tests.test_documents import document

SIZES = (100, 500, 1500, 5000)


def main() -> None:
    """Print a row for each number of routes."""
    print('routes  document   whole  change of one   made in  applied in')
    for count in SIZES:
        before, after = document(1, count), document(2, count, r50=1)
        whole = encode_delta(b'', after)
        begun = time.perf_counter()
        change = encode_delta(before, after)
        made = time.perf_counter()
        apply_delta(before, change)
        applied = time.perf_counter()
        print(
            f'{count:6} {len(after):8} B {len(whole):6} B {len(change):8} B'
            f' {1000 * (made - begun):8.1f} ms {1000 * (applied - made):6.1f} ms',
        )


if __name__ == '__main__':
    main()
