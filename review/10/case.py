"""A client that uses the id of another client's open request gets that one's answer."""

import asyncio
import json
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))

import rig

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["hall-a", "hall-b", "hall-c"]
CALLS = 6
ROW, OTHER_ROW = "7f3a9c21e0b4d655", "00c41f7ab0d4e921"


def write_state(world: rig.World) -> None:
    """Write the files of replicated state for all front ends."""
    members = world.members(ballots=True)
    for front in world.fronts:
        (front.folder / "members.json").write_text(json.dumps(members))
        state = {"version": 1, "members": "members.json", "folder": "state"}
        (front.folder / "state.json").write_text(json.dumps(state))
        front.more = f"--state {front.folder / 'state.json'} --fresh"


async def bad_client(world: rig.World, ident: str, number: int) -> rig.Answer:
    """Use the id of an open request with a different function and body, at one of the front ends."""
    client = await world.client(f"bad{number}", world.fronts[number % 3])
    body = f"work=30 settle=other-{number}"
    answer = await rig.wait_for(client.call("publish", ident, 1800, OTHER_ROW, body), 3.0)
    client.close()
    return answer


async def one(world: rig.World, number: int) -> bool:
    """One usual request, with a bad client beside it; return whether both got what is theirs."""
    ident = rig.new_id()
    client = await world.client(f"c{number}", world.fronts[0])
    body = f"work=400 settle=mine-{number}"
    asked = client.call("publish", ident, 1800, ROW, body)
    await asyncio.sleep(0.15)
    bad = await bad_client(world, ident, number) if TROUBLE else rig.Answer("refused")
    answer = await rig.wait_for(asked, 3.0)
    client.close()
    kept = bad.kind != "served" or bad.body == rig.answer_of(ident, f"work=30 settle=other-{number}".encode())
    mine = answer.kind != "served" or answer.body == rig.answer_of(ident, body.encode())
    if not kept:
        same = bad.body == rig.answer_of(ident, body.encode())
        world.record.note("case", f"bad{number} was served {'the other client`s answer' if same else '?'}")
    return kept and mine


async def play(world: rig.World) -> int:
    """Play the case; see `rig.run`."""
    await world.add_scorers(ZONES)
    world.add_fronts(ZONES)
    write_state(world)
    for front in world.fronts:
        await front.start()
    if not all([await front.ready() for front in world.fronts]):
        return 2
    await asyncio.sleep(2.0)
    kept = [await one(world, number) for number in range(CALLS)]
    world.record.note("case", f"kept: {kept}")
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(rig.run(play, Path(__file__).resolve().parent, rig.BILBAO))
