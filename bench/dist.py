"""Build the single file: ``python -m bench.dist`` writes ``dist/ringseam``."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).parent.parent
TARGET = ROOT / 'dist' / 'ringseam'


def main():
    TARGET.parent.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        pip = [sys.executable, '-m', 'pip', 'install', '--quiet', '--target', folder]
        subprocess.run([*pip, '--no-deps', '-r', str(ROOT / 'requirements.txt')], check=True)
        subprocess.run([*pip, '--no-deps', '--no-build-isolation', str(ROOT)], check=True)
        shiv = [sys.executable, '-m', 'shiv.cli', '--site-packages', folder]
        command = [*shiv, '-c', 'ringseam', '-o', str(TARGET), '-p', '/usr/bin/env python3']
        subprocess.run(command, check=True)
    print(f'{TARGET.relative_to(ROOT)}: {TARGET.stat().st_size / 2**20:.1f} MiB')


if __name__ == '__main__':
    main()
