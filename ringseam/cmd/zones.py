"""Commands that show, drain and restore availability zones."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
import typer

from ringseam.cmd.main import ExitCode, app
from ringseam.cmd.operate import ControlOption, JsonOption, KeyOption, run_with_control
from ringseam.controlclient import ControlClient
from ringseam.followmessages import ORDER_ZONE, READ_ZONES, ZoneOrder
from ringseam.messages import Empty
from ringseam.zones import DrainedZones

_ORDER_TIMEOUT_S = 10.0

ZoneArgument = Annotated[str, typer.Argument(help='The availability zone.')]


@app.command()
def zones(addresses: ControlOption, key_file: KeyOption, as_json: JsonOption = False) -> None:
    """Show the drained zones: ``ringseam zones --control ... --key-file cluster.key``."""

    async def read_zones(control: ControlClient) -> Any:  # noqa: WPS430
        return await control.call_leader(READ_ZONES, Empty(), timeout_s=_ORDER_TIMEOUT_S)

    _print_drained_zones(run_with_control(addresses, key_file, read_zones), as_json=as_json)


@app.command('drain-zone')
def drain_zone(
    zone: ZoneArgument,
    addresses: ControlOption,
    key_file: KeyOption,
    as_json: JsonOption = False,
) -> None:
    """Send no new requests to the backend servers of a zone: ``ringseam drain-zone hall-a ...``."""
    _send_order(ZoneOrder(zone=zone, drained=True), addresses, key_file, as_json=as_json)


@app.command('restore-zone')
def restore_zone(
    zone: ZoneArgument,
    addresses: ControlOption,
    key_file: KeyOption,
    as_json: JsonOption = False,
) -> None:
    """Return a drained zone to service: ``ringseam restore-zone hall-a ...``."""
    _send_order(ZoneOrder(zone=zone, drained=False), addresses, key_file, as_json=as_json)


def _send_order(order: ZoneOrder, addresses: str, key_file: KeyOption, *, as_json: bool) -> None:
    async def send(control: ControlClient) -> Any:  # noqa: WPS430
        return await control.call_leader(ORDER_ZONE, order, timeout_s=_ORDER_TIMEOUT_S)

    _print_drained_zones(run_with_control(addresses, key_file, send), as_json=as_json)


def _print_drained_zones(reply: Any, *, as_json: bool) -> None:
    if not isinstance(reply, DrainedZones):
        typer.echo('rejected: the control group is not complete yet', err=True)
        raise typer.Exit(ExitCode.unreachable)
    if as_json:
        typer.echo(msgspec.json.encode(reply).decode())
        return
    drained = ', '.join(reply.names) or 'none'
    typer.echo(f'drained zones: {drained} (change {reply.change})')
