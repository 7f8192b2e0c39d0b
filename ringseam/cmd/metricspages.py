"""Fetch the metrics pages of several processes."""

from __future__ import annotations

import typer
import urllib3
from urllib3.exceptions import HTTPError

from ringseam.cmd.main import ExitCode
from ringseam.util.ini import split_list

_TIMEOUT_S = 5.0


def fetch_pages(addresses: str) -> dict[str, str]:
    """Return the pages of all processes that answer, by IP:PORT; the others are named.

    :raises typer.Exit: if none answers.
    """
    pages: dict[str, str] = {}
    for address in split_list(addresses):
        try:
            page = urllib3.request(
                'GET', f'http://{address}/metrics', retries=False, timeout=_TIMEOUT_S
            )
        except HTTPError as error:
            typer.echo(f'{address}: {error}', err=True)
            continue
        pages[address] = page.data.decode()
    if not pages:
        raise typer.Exit(ExitCode.unreachable)
    return pages
