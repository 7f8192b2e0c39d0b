"""The single-file distribution runs on its own in an empty folder."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent


@pytest.fixture(scope='module')
def binary():
    subprocess.run([sys.executable, '-m', 'bench.dist'], cwd=ROOT, check=True)
    return ROOT / 'dist' / 'ringseam'


def run(binary, folder, *arguments):
    environment = {'PATH': os.environ['PATH'], 'HOME': str(folder), 'SHIV_ROOT': str(folder)}
    return subprocess.run(
        [sys.executable, '-I', str(binary), *arguments],
        cwd=folder,
        env=environment,
        capture_output=True,
        text=True,
        timeout=120,
    )


def test_version_and_demo_from_an_empty_folder(binary, tmp_path):
    version = run(binary, tmp_path, '--version')
    assert (version.returncode, version.stdout) == (0, '0.1.0\n')
    demo = run(binary, tmp_path, 'demo', '--once')
    assert demo.returncode == 0, demo.stderr
    assert demo.stdout.count(' 200 completed') == 3


def test_usage_and_findings_have_their_exit_codes(binary, tmp_path):
    bad = tmp_path / 'bad.ini'
    bad.write_text('[part]\nname = p\n[pol x]\n')
    assert run(binary, tmp_path, 'check', str(bad)).returncode == 1
    assert run(binary, tmp_path, 'check', 'missing.ini').returncode == 2
    assert run(binary, tmp_path, 'settings', 'nobody').returncode == 2
    assert '[entry]' in run(binary, tmp_path, 'settings', 'entry').stdout
