"""Commands that show and lift verdicts on requests that crash backend servers."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
import typer

from ringseam.cmd.main import ExitCode, app
from ringseam.cmd.operate import ControlOption, JsonOption, KeyOption, run_with_control
from ringseam.contents import ContentId
from ringseam.controlclient import ControlClient
from ringseam.messages import Empty
from ringseam.quarantinemessages import (
    LIFT_VERDICT,
    READ_VERDICTS,
    VerdictEntry,
    VerdictLift,
    VerdictList,
)

_CALL_TIMEOUT_S = 10.0

VerdictArgument = Annotated[str, typer.Argument(help='The id of the verdict.')]


@app.command()
def verdicts(addresses: ControlOption, key_file: KeyOption, as_json: JsonOption = False) -> None:
    """Show what is quarantined: ``ringseam verdicts --control ... --key-file cluster.key``."""
    _print_verdicts(_read_verdicts(addresses, key_file), as_json=as_json)


@app.command('lift-verdict')
def lift_verdict(
    verdict: VerdictArgument,
    addresses: ControlOption,
    key_file: KeyOption,
    as_json: JsonOption = False,
) -> None:
    """Let a quarantined request run once; a crash restores it: ``ringseam lift-verdict ID``."""
    known = _read_verdicts(addresses, key_file)
    if verdict not in {entry.verdict for entry in known.verdicts}:
        typer.echo(f'no verdict {verdict}; see ringseam verdicts', err=True)
        raise typer.Exit(ExitCode.conflict)

    async def lift(control: ControlClient) -> Any:  # noqa: WPS430
        order = VerdictLift(verdict=ContentId(verdict))
        return await control.call_leader(LIFT_VERDICT, order, timeout_s=_CALL_TIMEOUT_S)

    _print_verdicts(run_with_control(addresses, key_file, lift), as_json=as_json)


def _read_verdicts(addresses: str, key_file: KeyOption) -> VerdictList:
    async def read(control: ControlClient) -> Any:  # noqa: WPS430
        return await control.call_leader(READ_VERDICTS, Empty(), timeout_s=_CALL_TIMEOUT_S)

    found: VerdictList = run_with_control(addresses, key_file, read)
    return found


def _print_verdicts(listed: VerdictList, *, as_json: bool) -> None:
    if as_json:
        typer.echo(msgspec.json.encode(listed).decode())
        return
    if not listed.verdicts:
        typer.echo('no verdicts')
    for entry in listed.verdicts:
        typer.echo(_format_entry(entry))


def _format_entry(entry: VerdictEntry) -> str:
    if entry.is_scoped:
        scope = f'requests of {entry.account}'
    else:
        scope = f'found in requests of {entry.account or "no account"}'
    crashes = ', '.join(entry.crashes) or 'recorded by an earlier leader'
    return (
        f'{entry.verdict}: service {entry.service}, {scope}, for {entry.age_s:.0f} s, '
        f'lifted {entry.lifts} times; keys {", ".join(entry.keys)}; crashes: {crashes}'
    )
