"""Steps for clients of a daemon that stay outside the limits."""

import asyncio
import resource
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from behave import given, then, when

from features.fixtures_misbehaving_clients import (
    Crowd,
    ProcessUsage,
    descriptors_returned,
    is_answered,
)
from quinceferry_lab.child_processes import ChildProcesses
from quinceferry_lab.gateway_processes import free_port

READY_REQUEST = b"GET /ready HTTP/1.1\r\nhost: a\r\n\r\n"
HEAD_END = b"\r\n\r\n"

SETTINGS = """\
[router]
vm = "vm-1"
zone = "zone-a"
host = "127.0.0.1"
port = {port}
fleet_secret = "secret-of-the-fleet"
operator_key = "key-of-the-operators"

[platform]
kv_url = "{platform}"
vm_list_url = "{platform}"
"""


@dataclass
class DaemonScene:
    """One daemon process with a stand-in of its platform, and a crowd of clients."""

    megabytes: int
    descriptors: int = 0
    crowd: Crowd | None = None
    usage: ProcessUsage | None = None
    acts: list = field(default_factory=list)
    not_cut_off: int = 0

    def play(self):
        """Start everything, play all acts and end what still runs."""
        asyncio.run(self._play())

    async def _play(self):
        with tempfile.TemporaryDirectory() as folder:
            children = ChildProcesses(Path(folder))
            try:
                await self._start(children)
                for act in self.acts:
                    await act(self)
            finally:
                await children.stop_all()

    async def _start(self, children):
        """Start the platform and the daemon, and wait until the daemon is ready."""
        command = (sys.executable, "-m", "quinceferry_standins.platform_server")
        platform = await children.start("platform", *command, "--vm", "vm-1=zone-a", announces=True)
        port = free_port()
        self.address = f"127.0.0.1:{port}"
        settings = children.folder / "daemon.toml"
        settings.write_text(SETTINGS.format(port=port, platform=platform.url))
        command = str(Path(sys.executable).with_name("quinceferryd"))
        self.daemon = await children.start("daemon", command, "--config", str(settings))
        if self.descriptors:
            limits = (self.descriptors, self.descriptors)
            resource.prlimit(self.daemon.process.pid, resource.RLIMIT_NOFILE, limits)
        assert await self.is_ready(), children.log_tails()
        self.usage = ProcessUsage(self.daemon.process.pid)

    async def is_ready(self):
        """Return whether an ordinary request is answered."""
        return await is_answered(self.address, READY_REQUEST, 200, HEAD_END)

    def send(self, count, what, reads):
        """Let a crowd send when the scene is played."""

        async def act(scene):
            scene.crowd = Crowd.of(count, scene.address, what, reads)
            await scene.crowd.run()

        self.acts.append(act)


@given("a daemon process on a machine of {megabytes:d} MB")
def given_daemon(context, megabytes):
    context.daemon_scene = DaemonScene(megabytes)


@given("the daemon process may have {count:d} descriptors open")
def given_daemon_descriptors(context, count):
    context.daemon_scene.descriptors = count


@when("{count:d} clients send {what} without end to the daemon")
@when("{count:d} clients send many {what} ahead to the daemon and read the answers")
def when_daemon_read(context, count, what):
    context.daemon_scene.send(count, what, reads=True)


@when("{count:d} clients send many {what} ahead to the daemon and don't read the answers")
@when("{count:d} clients send {what} to the daemon and wait")
def when_daemon_unread(context, count, what):
    context.daemon_scene.send(count, what, reads=False)


@then("each of the daemon's clients was cut off")
def then_daemon_cut_off(context):
    async def check(scene):
        scene.not_cut_off = await scene.crowd.wait_cut_off()

    context.daemon_scene.acts.append(check)


@then("the daemon process lives within its memory and answers an ordinary request")
def then_daemon_lives(context):
    async def check(scene):
        context.is_answered = await scene.is_ready()
        scene.crowd.leave()
        await descriptors_returned(scene.usage)
        context.is_running = scene.daemon.running
        context.peak = scene.usage.peak_mebibytes

    scene = context.daemon_scene
    scene.acts.append(check)
    scene.play()
    assert context.is_running, "the process has ended"
    assert context.peak <= scene.megabytes, f"{context.peak:.0f} MB"
    assert context.is_answered, "the ordinary request was not answered"
    assert not scene.not_cut_off, f"{scene.not_cut_off} were not cut off"
