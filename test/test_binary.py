"""The binary runs as one process and writes only to a memory file system."""

import importlib.util
import json
import os
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

import pytest

from galenascale.key_table import key_digest
from test.processes import running, write_json

ROOT = Path(__file__).resolve().parent.parent
BINARY = ROOT / "dist" / "galenascale"
MEMORY = Path("/dev/shm")
BUILD_TIMEOUT_S = 300
READY_TIMEOUT_S = 30
pytestmark = pytest.mark.skipif(
    importlib.util.find_spec("shiv") is None or not MEMORY.is_dir(),
    reason="the build tool shiv or /dev/shm is missing",
)


@pytest.fixture(scope="module")
def binary():
    """Return the command line of a binary that is newer than its sources."""
    sources = [*ROOT.glob("galenascale/**/*.py"), ROOT / "requirements-runtime.txt"]
    newest = max(path.stat().st_mtime for path in sources)
    if not BINARY.exists() or BINARY.stat().st_mtime < newest:
        command = ["make", "--directory", str(ROOT), "binary"]
        subprocess.run(command, check=True, timeout=BUILD_TIMEOUT_S)
    return [sys.executable, str(BINARY)]


def processes_of_session(pid):
    """Return the ids of all processes in the session that a process leads."""
    found = []
    for entry in Path("/proc").glob("[0-9]*"):
        try:
            fields = (entry / "stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[3]) == pid:
            found.append(int(entry.name))
    return found


def writable_files(pid):
    """Return the regular files that a process has open for writing."""
    found = []
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        flags = Path(f"/proc/{pid}/fdinfo/{entry.name}").read_text().split()[3]
        if entry.is_file() and int(flags, 8) & os.O_ACCMODE != os.O_RDONLY:
            found.append(os.readlink(entry))
    return found


def note_first_read(path):
    """
    Read a file once and write the change of its access time to the disk.

    The first read of a new file changes its access time, which the kernel
    counts as a page written by the reader if the file's metadata has reached
    the disk before.
    """
    Path(path).read_bytes()
    os.sync()


def wait_ready(url):
    """Return once the host takes requests."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            with urllib.request.urlopen(f"{url}/readyz"):
                return
        except urllib.error.URLError:
            time.sleep(0.05)
    raise AssertionError("host did not get ready")


def test_serves_as_one_process_and_writes_to_memory_only(binary, tmp_path):
    """Guards diskless hosts; the examples come from the binary itself."""
    places = {name: tmp_path / name for name in ("home", "temporary", "work")}
    for place in places.values():
        place.mkdir()
    root = MEMORY / f"galenascale-test-{os.getpid()}"
    options = {
        "command": binary,
        "cwd": places["work"],
        "start_new_session": True,
        "env": {
            "PATH": os.environ["PATH"],
            "HOME": str(places["home"]),
            "TMPDIR": str(places["temporary"]),
            "SHIV_ROOT": str(root),
        },
    }
    try:
        arguments = ["dev", "--port", "0", "--log-level", "info"]
        with running(*arguments, **options) as deployment:
            summary = json.loads(deployment.stdout.readline())
            settings = {
                "host_id": "kigali-a-9",
                "failure_domain": "kigali-a",
                "platform_url": summary["platform_url"],
                "peer_secret": "0123456789abcdef",
                "operator_key_digests": [key_digest("k")],
            }
            path = write_json(tmp_path / "host.json", settings)
            note_first_read(path)
            with running("serve", "--settings", path, **options) as host:
                wait_ready(f"http://127.0.0.1:{host.port}")
                assert processes_of_session(host.pid) == [host.pid]
                assert writable_files(host.pid) == []
                counters = Path(f"/proc/{host.pid}/io").read_text()
                assert "\nwrite_bytes: 0\n" in counters
            assert host.returncode == 0
        assert [path for place in places.values() for path in place.iterdir()] == []
        assert list(root.glob("galenascale_*/site-packages/galenascale"))
    finally:
        subprocess.run(["rm", "-rf", str(root)], check=True)


def test_leaves_out_what_only_tests_and_the_demo_need(binary):
    """Guards the size of the binary and the pins of what is in it."""
    shown = subprocess.run(
        [sys.executable, "-m", "zipfile", "-l", binary[1]],
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    for name in ("openai", "pytest", "hypothesis", "cryptography", "tqdm", "ruff"):
        assert f"site-packages/{name}/" not in shown
    pins, runtime = (
        set((ROOT / name).read_text().splitlines())
        for name in ("requirements.txt", "requirements-runtime.txt")
    )
    assert runtime < pins
