"""Membership of several real processes of this program, with faults between them."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import time
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from query_broker.cli.main import main
from query_broker.emulator.cluster import MS, World, config
from query_broker.emulator.cluster import settings as world_settings
from query_broker.emulator.faulty_links import Fault, Kind, RelayNet, Script, partition
from query_broker.emulator.processes import Fleet, Member, free_ports
from query_broker.membership.codec import Codec, peek_sender, read_keys
from query_broker.membership.incarnations import EVERY, Chain
from query_broker.membership.messages import Claim, Identity, Ping, Status

from .sockets import HANG, on_uvloop, until, write_config

INTERVAL = 0.25
OLD, NEW = "1 " + "ab" * 32, "2 " + "cd" * 32
LIMITS = {**world_settings()["policy_limits"], "peer_messages": True}


class Peers:
    """Processes that know each other through relays, which a script of faults spoils."""

    def __init__(self, fleet: Fleet, net: RelayNet, keys: Path, addresses: list[str]) -> None:
        self.fleet, self.net, self.keys, self.addresses = fleet, net, keys, addresses
        self.script = net.script

    def spoil(self, seconds: float, *faults: Fault) -> None:
        """From now on, for so long."""
        now = self.script.now()
        self.script.faults += [
            Fault(now, now + seconds, f.links, f.kind, f.way, f.seconds, f.share, f.rate)
            for f in faults
        ]

    def heal(self) -> None:
        self.script.faults.clear()

    async def told(self, number: int) -> dict[str, Any]:
        try:
            return await asyncio.to_thread(self.fleet.members[number].status, "/members")
        except OSError:
            return {}

    async def holds(self, numbers: Iterable[int], among: Iterable[int]) -> None:
        """Each of the first holds just the second, itself among them."""
        wanted = {self.addresses[i] for i in among}
        waiting, end, said = set(numbers), time.monotonic() + HANG, dict[str, Any]()
        while waiting and time.monotonic() < end:
            for number in list(waiting):
                said = await self.told(number)
                if (
                    said
                    and wanted
                    == {
                        said["me"],
                        *(
                            m["address"]
                            for m in said["members"]
                            if m["status"] in ("alive", "suspect")
                        ),
                    }
                    and said["view"]["alive"] == len(wanted)
                ):
                    waiting.discard(number)
            await asyncio.sleep(0.05)
        log = "".join(self.fleet.members[number].log() for number in waiting)
        assert not waiting, f"n{waiting}: {said.get('members')}\n{log}"

    async def figure(self, name: str, numbers: Iterable[int]) -> int:
        return sum([(await self.told(n))["figures"].get(name, 0) for n in numbers])


def word(number: int, port: int, address: str, keys: Path, seeds: list[str], **more: Any) -> str:
    given = {
        "address": f"127.0.0.1:{port}",
        "advertise": address,
        "key_file": str(keys),
        "installation": "here",
        "seeds": seeds,
        "interval": INTERVAL,
        "sync": 2,
        "settle": 1,
        "forget": 60,
        **more,
    }
    return "members(" + ", ".join(f"{k} = {json.dumps(v)}" for k, v in given.items()) + ")"


@asynccontextmanager
async def peers(count: int, folder: Path, **more: Any) -> AsyncIterator[Peers]:
    world = World()
    await world.start("s-1")
    keys = folder / "keys"
    keys.write_text(OLD)
    net = RelayNet(Script([], time.monotonic), peek_sender)
    raw = config(world, "", fleet_size=count, policy_limits=LIMITS)
    addresses = [f"127.0.0.1:{p}" for p in free_ports(count)]

    def script(number: int, port: int) -> str:
        return word(number, port, addresses[number], keys, addresses[:2], **more)

    with Fleet(count, raw, script) as fleet:
        for member, address in zip(fleet.members, addresses, strict=True):
            await net.add(f"n{member.number}", member.peers, int(address.rpartition(":")[2]))
        fleet.start()
        made = Peers(fleet, net, keys, addresses)
        await made.holds(range(count), range(count))
        yield made
    net.stop()
    world.stop()


@on_uvloop
async def test_no_link_however_lossy_or_cut_in_one_way_makes_a_healthy_broker_disappear(
    tmp_path: Path,
) -> None:
    """A third of all messages, nine in ten of one's, a cut from A to B, all to A, A-B and B-C
    without A-C, one slow link, datagrams that come twice and overtake each other: one after the
    other.
    """
    async with peers(6, tmp_path) as made:
        for seconds, faults in (
            (4.0, [Fault(0, 0, "*", Kind.DROP, share=0.33)]),
            (4.0, [Fault(0, 0, way, Kind.DROP, share=0.9) for way in ("n3-*", "*-n3")]),
            (3.0, [Fault(0, 0, "n1-n2", Kind.STALL)]),
            (4.0, [Fault(0, 0, "*-n4", Kind.STALL)]),
            (4.0, [f for f in partition(0, 0, ["n0", "n1"], ["n4", "n5"])]),
            (4.0, [Fault(0, 0, way, Kind.DELAY, seconds=0.5) for way in ("n2-*", "*-n2")]),
            (3.0, [Fault(0, 0, "*", Kind.TWICE, share=0.5)]),
        ):
            made.spoil(seconds, *faults)
            await asyncio.sleep(seconds)
            others = [i for i in range(6) if f"*-n{i}" not in [f.links for f in faults]]
            logs = "".join(member.log() for member in made.fleet.members)
            assert await made.figure("removals", others) == 0, f"{faults}\n{logs}"
            made.heal()
        await made.holds(range(6), range(6))
        verdicts = (await made.told(0))["members"]
        assert {m["verdict"] for m in verdicts} <= {"reached", "not asked yet"}


@on_uvloop
async def test_a_cut_in_one_way_has_a_verdict_of_its_own(tmp_path: Path) -> None:
    async with peers(5, tmp_path) as made:
        made.spoil(60, Fault(0, 0, "n1-n2", Kind.STALL))

        async def verdict(at: int, of: int) -> str:
            said = await made.told(at)
            return next(
                (m["verdict"] for m in said["members"] if m["address"] == made.addresses[of]),
                "none",
            )

        async def says(at: int, of: int, text: str) -> None:
            end = time.monotonic() + HANG
            while await verdict(at, of) != text:
                assert time.monotonic() < end, await made.told(at)
                await asyncio.sleep(0.1)

        await says(1, 2, "we can't reach it")
        await says(2, 1, "its answers don't reach us")
        made.heal()
        made.spoil(60, Fault(0, 0, "n3-*", Kind.STALL))  # nobody hears it: it goes, and knows why
        await made.holds([0, 1, 2, 4], [0, 1, 2, 4])
        said = await made.told(3)
        assert not said["view"]["certain"] and said["view"]["limits_by"] == 5
        made.heal()
        await made.holds(range(5), range(5))


@on_uvloop
async def test_partitions_are_seen_from_both_sides_and_a_minority_takes_no_more_than_before(
    tmp_path: Path,
) -> None:
    """Keys are changed while it lasts, side by side with the cut."""
    async with peers(6, tmp_path) as made:
        great, small = [0, 1, 2, 3, 4], [5]
        made.spoil(60, *partition(0, 0, ["n0", "n1", "n2", "n3", "n4"], ["n5"]))
        await made.holds(great, great)
        await until_all(
            made, great, lambda said: said["view"]["certain"] and said["view"]["limits_by"] == 5
        )
        said = await made.told(5)
        assert said["view"]["limits_by"] == 6
        for stage in (f"{OLD}\n{NEW}", f"{NEW}\n{OLD}", NEW):
            made.keys.write_text(stage)
            for member in made.fleet.members:
                count = member.log().count("reload: done")
                member.signal(signal.SIGHUP)
                await until(lambda m=member, c=count: m.log().count("reload: done") > c)  # type: ignore[misc]
        made.heal()
        await made.holds(range(6), range(6))
        shown = json.loads(
            (await asyncio.to_thread(made.fleet.members[0].call, "/members/keys"))[1]
        )
        assert shown["signs"] == 2 and shown["reads"] == [2] and shown["taken_in"]["2"] > 0
        made.spoil(60, *partition(0, 0, ["n0", "n1", "n2"], ["n3", "n4", "n5"]))
        await made.holds([0, 1, 2], [0, 1, 2])
        await made.holds([3, 4, 5], [3, 4, 5])
        for number in range(6):  # neither half is sure
            view = (await made.told(number))["view"]
            assert not view["certain"] and view["limits_by"] == 6
        assert small == [5]
        made.heal()
        await until_all(
            made, range(6), lambda said: said["view"]["certain"] and said["view"]["alive"] == 6
        )


def told_apart(boot: str, said: dict[str, Any]) -> bool:
    """The process of this boot has ended, and the next one is there at its address."""
    address = next((m["address"] for m in said["members"] if m["boot"] == boot), "")
    return {m["status"] for m in said["members"] if m["boot"] == boot} == {"dead"} and "alive" in {
        m["status"] for m in said["members"] if m["address"] == address
    }


async def until_all(
    made: Peers, numbers: Iterable[int], true: Callable[[dict[str, Any]], bool]
) -> None:
    end = time.monotonic() + HANG
    for number in numbers:
        said: dict[str, Any] = {}
        while not said or not true(said):
            assert time.monotonic() < end, said
            said = await made.told(number)
            await asyncio.sleep(0.05)


@on_uvloop
async def test_pauses_kills_and_restarts_are_told_apart(tmp_path: Path) -> None:
    """One that stood still, then a third, accuse nobody when they wake; seven in ten end at once; a
    tenth starts anew at its addresses, one after the other; one ends as planned.
    """
    async with peers(7, tmp_path) as made:
        members = made.fleet.members
        for paused in ([2], [0, 1]):
            before = {number: len(members[number].log()) for number in paused}
            for number in paused:
                members[number].signal(signal.SIGSTOP)
            await asyncio.sleep(6.0)
            awake = [i for i in range(7) if i not in paused]
            for number in paused:
                members[number].signal(signal.SIGCONT)
            await made.holds(range(7), range(7))
            for number in paused:
                assert (await made.told(number))["pauses"] >= 1
                mine, log = made.addresses[number], members[number].log()[before[number] :]
                assert not [
                    i for i in awake if f"{made.addresses[i]}: removed by {mine}" in log
                ], log
            for number in awake:  # those that were awake were held by all that were awake
                kept = {m["address"]: m for m in (await made.told(number))["members"]}
                assert all(
                    kept[made.addresses[i]]["status"] == "alive" for i in awake if i != number
                )
        for number in (2, 3):
            boot = (await made.told(number))["boot"]
            members[number].kill()
            members[number].start()
            await made.holds(range(7), range(7))
            assert (await made.told(number))["boot"] != boot
            await until_all(made, [i for i in range(7) if i != number], partial(told_apart, boot))
        last, others = (await made.told(6))["boot"], range(6)
        await until_all(
            made, others, lambda said: "suspect" not in [m["status"] for m in said["members"]]
        )
        members[6].signal(signal.SIGTERM)
        await made.holds(others, others)
        for number in others:  # by its own word: nobody had doubted it
            said = await made.told(number)
            assert [(m["status"], m["by"]) for m in said["members"] if m["boot"] == last] == [
                ("left", "")
            ]
        assert await asyncio.to_thread(members[6].wait, HANG) == 0
        for number in (2, 3, 4, 5):
            members[number].kill()
        await made.holds([0, 1], [0, 1])
        view = (await made.told(0))["view"]
        assert not view["certain"] and view["limits_by"] == 7 and "are lost" in view["why"]


@on_uvloop
async def test_strangers_floods_other_installations_and_a_liar_change_nothing(
    tmp_path: Path,
) -> None:
    """Two installations share the network and the key; a member with the key says what it likes."""
    async with peers(3, tmp_path) as made:
        draw, victim = random.Random(7), made.addresses[0]
        target = ("127.0.0.1", made.fleet.members[0].peers)
        ring, chain = read_keys(OLD), Chain(b"liar", EVERY)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            udp.bind(("127.0.0.1", 0))
            me = Identity(f"127.0.0.1:{udp.getsockname()[1]}", chain.boot)
            own = Claim(me, 0, Status.ALIVE, chain.proof(0), chain.leave)
            said = await made.told(0)
            to = Identity(victim, bytes.fromhex(said["boot"]))
            forged = Codec("here", read_keys("1 " + "ef" * 32)).write(to, own, Ping(1))
            foreign = Codec("there", ring).write(to, own, Ping(1))
            for data in (forged, foreign, forged[:30], bytes(1_390), bytes(5_000)):
                udp.sendto(data, target)
            for _ in range(3_000):  # a flood: what is too much is not even looked at
                udp.sendto(draw.randbytes(200), target)
            await asyncio.sleep(1.2)
            liar = Codec("here", ring)
            for other in said["members"]:
                id = Identity(other["address"], bytes.fromhex(other["boot"]))
                for status in (Status.DEAD, Status.LEFT):
                    for by in made.addresses:
                        claim = Claim(id, other["incarnation"], status, b"x" * 12, b"y" * 12, by)
                        udp.sendto(liar.write(to, own, Ping(2, "", (claim,))), target)
            await asyncio.sleep(2.0)
        figures = (await made.told(0))["figures"]
        dropped = figures["dropped"]
        assert figures["flooded"] > 300 and dropped["installation"] == 1 and dropped["foreign"] > 10
        assert dropped["forged"] >= 1 and dropped["oversized"] >= 1 and figures["unproven"] >= 1
        for number in range(3):
            kept = {m["address"]: m["status"] for m in (await made.told(number))["members"]}
            assert [kept[a] for i, a in enumerate(made.addresses) if i != number] == ["alive"] * 2
        assert await made.figure("removals", range(3)) <= 3  # of the liar, once it has gone
        # a frame that never ends, and a huge one
        with socket.create_connection(target, timeout=5) as tcp:
            tcp.sendall((1 << 30).to_bytes(4, "big") + b"x" * 100)
            assert tcp.recv(10) == b""
        assert await made.fleet.members[0].ready()


@on_uvloop
async def test_operators_see_it_leave_and_a_bad_key_file_changes_nothing(tmp_path: Path) -> None:
    async with peers(3, tmp_path) as made:
        member = made.fleet.members[1]
        address = f"127.0.0.1:{member.operator}"

        async def call(*words: str) -> str:
            done = await asyncio.to_thread(
                CliRunner().invoke, main, ["members", *words, "--address", address]
            )
            assert done.exit_code == 0, done.output
            return done.output

        shown = await call("show")
        assert "certain; limits by 3" in shown and made.addresses[0] in shown
        assert json.loads(await call("show", "--json"))["bounds_s"]["removed_worst"] > 0
        assert (
            "signs" in await call("keys") and json.loads(await call("keys", "--json"))["signs"] == 1
        )
        text = (await asyncio.to_thread(member.call, "/metrics"))[1].decode()
        assert (
            'edge_proxy_members{status="alive"} 2' in text
            and "edge_proxy_members_view_certain 1" in text
        )
        made.keys.write_text("nonsense")
        member.signal(signal.SIGHUP)
        await until(lambda: "the keys stay as they were" in member.log())
        assert (await asyncio.to_thread(member.call, "/members/leave"))[0] == 405
        assert made.addresses[1] in await call("leave")
        await made.holds([0, 2], [0, 2])
        said = await made.told(1)
        assert said["left"] and not said["view"]["certain"] and said["view"]["limits_by"] == 3
        assert await member.ready()  # it serves on


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ("no talk", "members: settings.policy_limits.peer_messages does not allow talk"),
        ("no key", "members.key_file: "),
        ("bad key", "members.key_file: "),
        ("taken", "members.address: "),
    ],
)
def test_what_can_t_be_set_up_is_one_line_and_ends_with_2(
    tmp_path: Path, change: str, why: str
) -> None:
    limits = {**LIMITS, "peer_messages": change != "no talk"}
    env = write_config(tmp_path, settings={**world_settings(), "policy_limits": limits})
    keys = tmp_path / "keys"
    if change != "no key":
        keys.write_text("x" if change == "bad key" else OLD)
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1] if change == "taken" else free_ports(1)[0]
        (tmp_path / "ops.star").write_text(
            word(0, port, "", keys, []).replace('advertise = "", ', "")
        )
        done = CliRunner().invoke(
            main, ["serve", "--operator-file", str(tmp_path / "ops.star")], env=env
        )
    assert done.exit_code == 2 and why in done.output and len(done.output.strip().splitlines()) == 1


def test_check_config_tells_the_bounds(tmp_path: Path) -> None:
    env = write_config(tmp_path, settings={**world_settings(), "fleet_size": 24})
    (tmp_path / "ops.star").write_text(word(0, 7000, "127.0.0.1:7001", tmp_path / "keys", []))
    done = CliRunner().invoke(
        main, ["check-config", "--operator-file", str(tmp_path / "ops.star")], env=env
    )
    assert (
        done.exit_code == 0 and "removed by all after" in done.output and "uncertain" in done.output
    )


def test_without_the_word_nothing_of_it_is_loaded() -> None:
    import subprocess
    import sys

    code = (
        "import sys, query_broker.server.node, query_broker.operator_config.service, "
        "query_broker.operator_config.script; "
        "print([m for m in sys.modules if m.startswith(('msgspec', 'query_broker.membership.d'))])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        cwd=Path(__file__).parents[1],
        env=os.environ,
    )
    assert done.stdout.strip() == "[]"


def test_members_are_known_by_number(tmp_path: Path) -> None:
    """The stand-in: each process has a script and a port for its peers of its own."""
    with Fleet(2, {"settings": {}}, lambda i, port: f"# {i} {port}") as fleet:
        scripts = [(m.folder / "operators.star").read_text() for m in fleet.members]
        assert scripts == [f"# {m.number} {m.peers}" for m in fleet.members]
        assert isinstance(fleet.members[0], Member) and MS == 1_000_000
