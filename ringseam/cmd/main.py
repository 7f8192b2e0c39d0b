"""The ``ringseam`` command line."""

from __future__ import annotations

import asyncio
import enum
import importlib
import json
import sys
from pathlib import Path
from typing import Annotated, Optional

import typer

from ringseam import config, settings
from ringseam.errors import FindingsError, RingseamError
from ringseam.events import configure_logging
from ringseam.role import Role
from ringseam.version import VERSION


class ExitCode(enum.IntEnum):
    """Exit codes of all commands."""

    done = 0
    findings = 1
    usage = 2
    conflict = 3
    unreachable = 4


app = typer.Typer(
    name='ringseam',
    help='Serve multi-stage model pipelines.',
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)

SettingsOption = Annotated[Path, typer.Option('--settings', help='INI settings file.')]


def read_role_settings(role: str, path: Path) -> settings.Settings:
    """Read a role's settings or exit with all findings."""
    try:
        return settings.read_settings(role, path.read_text(encoding='utf-8'), path=str(path))
    except OSError as error:
        typer.echo(f'{path}: {error.strerror}', err=True)
        raise typer.Exit(ExitCode.usage) from None
    except FindingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.findings) from None


def run_role(role: str, path: Path) -> None:
    """Run one process until it is stopped."""
    importlib.import_module(f'ringseam.{role}.role')
    read = read_role_settings(role, path)
    configure_logging(level=read.process['log_level'], path=read.process['log_file'])
    try:
        failure = asyncio.run(_serve(Role.kinds[role], read))
    except (RingseamError, OSError) as error:
        typer.echo(f'{role}: {error}', err=True)
        raise typer.Exit(ExitCode.findings) from None
    if failure:
        typer.echo(f'{role}: {failure}', err=True)
        raise typer.Exit(ExitCode.findings)


async def _serve(kind: type[Role], read: settings.Settings) -> str:
    role = kind(settings=read)
    await role.serve()
    return role.failure


@app.command()
def control(settings_file: SettingsOption) -> None:
    """Run a control host's replica: ``ringseam control --settings c1.ini``."""
    run_role('control', settings_file)


@app.command()
def entry(settings_file: SettingsOption) -> None:
    """Run an entry that callers reach: ``ringseam entry --settings e1.ini``."""
    run_role('entry', settings_file)


@app.command()
def agent(settings_file: SettingsOption) -> None:
    """Run the agent beside a backend server: ``ringseam agent --settings a1.ini``."""
    run_role('agent', settings_file)


@app.command()
def standin(settings_file: SettingsOption) -> None:
    """Run a stand-in backend server: ``ringseam standin --settings s1.ini``."""
    run_role('standin', settings_file)


@app.command('settings')
def print_settings(role: Annotated[str, typer.Argument(help='control, entry, ...')]) -> None:
    """Print a commented settings file: ``ringseam settings entry > entry.ini``."""
    if role not in settings.ROLES:
        typer.echo(f'{role}: not one of {", ".join(settings.ROLES)}', err=True)
        raise typer.Exit(ExitCode.usage)
    typer.echo(settings.default_file(role), nl=False)


@app.command()
def check(
    path: Annotated[Path, typer.Argument(help="An operator's file.")],
    as_json: Annotated[bool, typer.Option('--json', help='Print findings as JSON.')] = False,
) -> None:
    """Check an operator's file alone: ``ringseam check thies.ini``."""
    findings = []
    try:
        config.read_part(path.read_text(encoding='utf-8'), path=str(path))
    except OSError as error:
        typer.echo(f'{path}: {error.strerror}', err=True)
        raise typer.Exit(ExitCode.usage) from None
    except FindingsError as error:
        findings = error.findings
    print_findings(findings, as_json=as_json)
    if findings:
        raise typer.Exit(ExitCode.findings)


def print_findings(findings: list, *, as_json: bool) -> None:
    """Print findings for a person or for a script."""
    if as_json:
        rows = [
            {
                'path': finding.path,
                'line': finding.line,
                'section': finding.section,
                'key': finding.key,
                'message': finding.message,
            }
            for finding in findings
        ]
        typer.echo(json.dumps({'findings': rows}))
        return
    for finding in findings:
        typer.echo(str(finding), err=True)
    if not findings:
        typer.echo('no findings')


def _version(shown: bool) -> None:
    if shown:
        typer.echo(VERSION)
        raise typer.Exit


@app.callback()
def main(
    version: Annotated[
        Optional[bool],
        typer.Option('--version', callback=_version, is_eager=True, help='Print the version.'),
    ] = None,
) -> None:
    """Serve multi-stage model pipelines."""


def run() -> None:
    """Run the command line as the ``ringseam`` program."""
    for module in ('operate', 'demo'):
        importlib.import_module(f'ringseam.cmd.{module}')
    app()


if __name__ == '__main__':
    sys.exit(run())
