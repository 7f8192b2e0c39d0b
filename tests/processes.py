"""Start a small system as real processes and send requests to it."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import urllib3

from ringseam.controlclient import ControlClient
from ringseam.drill import REREAD_INTERVAL_S
from ringseam.layout import Layout
from ringseam.messages import ApplyRequest, Empty
from ringseam.node import Node
from ringseam.rpc import CallClient
from ringseam.services import APPLY, STATUS
from tests.suspendable import SUSPEND_SIGNAL, SUSPEND_STEP_S

TIMEOUT_S = 30
POLL_INTERVAL_S = 0.02


def eventually(check, *, timeout_s=TIMEOUT_S, what='the condition'):
    """Poll ``check`` and return its first true value; fail after ``timeout_s``."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        result = check()
        if result:
            return result
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f'timed out after {timeout_s} s waiting for {what}')


@dataclass
class System:
    """The processes of one layout, which are started and stopped by name."""

    layout: Layout
    running: dict[str, subprocess.Popen] = field(default_factory=dict)
    program: str = 'ringseam'

    def start(self, *names):
        for name in names or self.layout.processes:
            process = self.layout.processes[name]
            command = [sys.executable, '-m', self.program, process.role, '--settings']
            errors = (self.layout.folder / f'{name}.err').open('ab')
            self.running[name] = subprocess.Popen(
                [*command, str(process.settings)],
                stdout=errors,
                stderr=errors,
            )
            errors.close()

    def send_signal(self, name, number):
        self.running[name].send_signal(number)

    def resume_after_suspension(self, name, stopped_s):
        """Continue a stopped process as if its host had been suspended for ``stopped_s``."""
        for _ in range(round(stopped_s / SUSPEND_STEP_S)):
            self.send_signal(name, SUSPEND_SIGNAL)
        self.send_signal(name, signal.SIGCONT)

    def kill(self, *names):
        for name in names:
            process = self.running.pop(name)
            process.kill()
            process.wait()

    def stop(self, name, timeout_s=TIMEOUT_S):
        """Stop a process gracefully and return its exit code."""
        process = self.running.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout_s)

    def partition(self, name, *others, both=True):
        """Silently drop messages between ``name`` and ``others``; none: drop nothing.

        Without ``both``, only the process ``name`` drops messages.
        """
        processes = self.layout.processes
        (self.layout.folder / f'{name}.drill').write_text(
            ' '.join(processes[other].address for other in others),
        )
        if both:
            for other in others:
                path = self.layout.folder / f'{other}.drill'
                path.write_text(processes[name].address)
        # Each process rereads its file every REREAD_INTERVAL_S; until then, messages
        # still pass.
        time.sleep(2 * REREAD_INTERVAL_S)

    def heal(self):
        for path in self.layout.folder.glob('*.drill'):
            path.unlink()

    def close(self):
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.running.values():
            process.wait()
        self.running.clear()

    # -- calls ---------------------------------------------------------------

    def call(self, operation):
        """Run ``operation(control_client)`` on a separate event loop."""
        secret = self.layout.key_file.read_bytes().strip()[:64]

        async def run():
            client = CallClient(
                node=Node(name='test', role='operator', address='', secret=secret),
            )
            try:
                return await operation(ControlClient(client=client, addresses=self.layout.control))
            finally:
                client.close()

        return asyncio.run(run())

    def apply(self, text, *, expect, part='demo', timeout_s=TIMEOUT_S):
        request = ApplyRequest(
            part=part,
            text=text,
            expect=expect,
            operator_token=self.layout.operator_token(part),
            path=f'{part}.ini',
        )
        return self.call(lambda control: control.call_leader(APPLY, request, timeout_s=timeout_s))

    def statuses(self):
        """Return the status of each control host that responds, by name."""

        async def gather(control):
            calls = [
                control.client.call(address, STATUS, Empty(), timeout_s=1)
                for address in self.layout.control
            ]
            replies = await asyncio.gather(*calls, return_exceptions=True)
            return {
                reply.body.name: reply.body
                for reply in replies
                if not isinstance(reply, BaseException)
            }

        return self.call(gather)

    def leader(self):
        """Wait for a leader among the control hosts and return its name."""

        def find():
            leading = [
                (status.term, name)
                for name, status in self.statuses().items()
                if status.role == 'leader'
            ]
            return max(leading)[1] if leading else None

        return eventually(find, what='a leader')

    def wait_for_agents(self, count):
        eventually(
            lambda: any(
                sum(state.serving for state in status.agents) >= count
                for status in self.statuses().values()
            ),
            what=f'{count} serving agents',
        )

    def wait_until_ready(self, entry='entry'):
        """Wait until the entry has a configuration and has discovered agents."""
        eventually(lambda: self.get(entry, '/readyz').status == 200, what='readiness')

    def get(self, entry, path):
        try:
            return urllib3.request(
                'GET',
                f'http://{self.layout.processes[entry].http}{path}',
                retries=False,
                timeout=5,
            )
        except urllib3.exceptions.HTTPError:
            return urllib3.HTTPResponse(status=0)

    def post(self, pipeline, body=b'x', *, entry='entry', key='', token='caller', timeout=30):
        headers = {'Authorization': f'Bearer {token}', 'Content-Type': 'text/plain'}
        if key:
            headers['Idempotency-Key'] = key
        return urllib3.request(
            'POST',
            f'http://{self.layout.processes[entry].http}/v1/pipelines/{pipeline}',
            body=body,
            headers=headers,
            retries=False,
            timeout=timeout,
        )

    def post_until_success(self, pipeline, body=b'x', **options):
        """Post until the request succeeds; for use during start-up only."""
        return eventually(
            lambda: _completed(self.post(pipeline, body, **options)),
            what=f'a complete response of pipeline {pipeline}',
        )

    def set_faults(self, server, **faults):
        """Change the faults that a stand-in server injects."""
        reply = urllib3.request(
            'POST',
            f'http://{self.layout.processes[f"{server}-server"].http}/faults',
            json=faults,
            retries=False,
        )
        assert reply.status == 200, reply.data

    def executions(self, server, marker=''):
        """Return the recorded executions whose line contains ``marker``."""
        path = Path(self.layout.processes[f'{server}-server'].record_file)
        lines = path.read_text().splitlines() if path.exists() else []
        return [line for line in lines if marker in line]

    def events(self, name, event=''):
        """Return the events that one process logged and whose name contains ``event``."""
        path = self.layout.folder / f'{name}.log'
        lines = path.read_text().splitlines() if path.exists() else []
        records = [json.loads(line) for line in lines if line.startswith('{')]
        return [
            record
            for record in records
            if record.get('event_name') and event in record['event_name']
        ]


def _completed(reply):
    return reply if reply.status == 200 else None
