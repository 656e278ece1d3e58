"""The files that front ends read: configuration, members, settings of all parts."""

import os
import random
from pathlib import Path
from typing import Any

import msgspec

from fawnwharf.fakes import lossy as standins
from fawnwharf.fakes.calls import Kind
from fawnwharf.net.timer_wheel import unix_ms
from fawnwharf.testbed.processes import Front
from fawnwharf.testbed.topology import (
    BALLOTS,
    CONTROL,
    KINDS,
    PORT,
    PUBLIC,
    STATE,
    TENANTS,
    Topology,
    hash_of,
)

BOOT, POWER = "boot", "power"  # in a front end's folder: its machine's mark, what its writer did not sync
DEDUP_MS = 3_000.0
RULES = {"cold": 4_000.0, "cold_share": 0.2, "fall": 1_500.0, "fall_multiple": 2.0, "drain_grace": 250.0}
STATE_RULES = {"call_most_ms": 2_500.0, "window_ms": 4_000.0}
RECOVERY_WINDOW_MS = 6_700.0  # that a call's promise counts by these, by the slowest clock
PRICES = {"origin": 0.15, "waste": 0.16, "probe": 0.01}  # in worths of a mean call, as foresight's trial has
HANDOVER_RULES = {"give_up_ms": 2_000.0, "settle_ms": 6_000.0, "still_ms": 20_000.0, "lapse_ms": 8_000.0}
RATION = {"load_window": 5_000.0, "free_loads": 8.0, "load_part": 0.3}


def write_whole(path: Path, data: Any) -> None:
    """Write a file atomically: a reader finds all of it or the one before."""
    beside = path.with_suffix(".new")
    beside.write_bytes(msgspec.json.format(msgspec.json.encode(data), indent=1))
    os.rename(beside, path)


def members(
    fleet: Topology, viewer: Front, number: int = 1, voters: set[str] | None = None
) -> dict[str, Any]:
    """The file of members, with the addresses by which one front end reaches the others."""
    entries = []
    for front in fleet.fronts.values():
        votes = front.voter if voters is None else front.name in voters
        entry = {"name": front.name, "zone": front.zone, "region": fleet.scenario.zones[front.zone].region}
        entry["address"] = _reached(fleet, viewer, front, "public", PUBLIC)
        if fleet.scenario.state is not None:
            entry["state"] = _reached(fleet, viewer, front, "state", STATE)
        if votes:
            entry["ballots"] = _reached(fleet, viewer, front, "ballots", BALLOTS)
        entries.append(entry)
    return {"version": 1, "fleet": "lab", "number": number, "members": entries}


def _reached(fleet: Topology, viewer: Front, front: Front, what: str, port: int) -> str:
    relay = fleet.relays.get((viewer.name, front.name, what))
    return relay.host_port if relay else f"{front.host}:{port}"


def write_members(fleet: Topology, number: int, voters: set[str] | None = None) -> None:
    """Write the file of members for each front end."""
    for front in fleet.fronts.values():
        write_whole(front.folder / "members.json", members(fleet, front, number, voters))


def write_files(fleet: Topology, front: Front) -> None:
    """Write the files of a front end."""
    settings = {
        "version": 1,
        "members": "members.json",
        "folder": "state",
        "listen": f"{front.host}:{PUBLIC}",
        "listen_ballots": f"{front.host}:{BALLOTS}",
        **fleet.scenario.settings,
    }
    write_whole(front.folder / "zones.json", settings)
    if fleet.scenario.state is not None:
        state = {"version": 1, "members": "members.json", "listen": f"{front.host}:{STATE}"}
        state["folder"] = "kept"
        write_whole(front.folder / "state.json", {**state, **STATE_RULES, **fleet.scenario.state})
    if fleet.scenario.recovery is not None:
        if not (front.folder / BOOT).exists():
            new_boot(front)
        write_whole(front.folder / "recovery.json", recovery(fleet))
    if fleet.scenario.sessions is not None:
        write_whole(front.folder / "sessions.json", sessions(fleet.scenario.sessions))
        (front.folder / "told.jsonl").touch()
    if not front.lives or not (front.folder / "members.json").exists():  # a folder of an earlier run
        write_whole(front.folder / "members.json", members(fleet, front))


def new_boot(front: Front) -> None:
    """A front end's machine boots.

    Replicas without recovery know a boot by the system's mark alone, and trust a file of this boot: they find
    none.
    """
    (front.folder / BOOT).write_text(f"{random.SystemRandom().getrandbits(64):016x}\n")
    for path in (front.folder / "kept").glob("keeper-*.log"):
        path.unlink()


def recovery(fleet: Topology) -> dict[str, Any]:
    """The settings of recovery: a scenario's over the lab's own."""
    zones = fleet.scenario.zones.values()
    own: dict[str, Any] = {"version": 1, "folder": "durable", "boot_file": BOOT}
    own["fetches"] = fleet.store.at_once
    own["scorer_rps"] = sum(zone.rps for zone in zones) / max(1, sum(zone.scorers for zone in zones))
    own["timing"] = {"window_ms": RECOVERY_WINDOW_MS, **(fleet.scenario.recovery or {}).get("timing", {})}
    return {**own, **(fleet.scenario.recovery or {}), "timing": own["timing"]}


def lossy(fleet: Topology, front: Front) -> dict[str, str]:
    """The environment in which a front end's durable state is lost where it was not synced."""
    folder = front.folder / POWER
    folder.mkdir(exist_ok=True)
    seed = hash_of(f"{fleet.seed}/{front.name}/{len(front.lives)}") % 2**32
    asked = {"folder": str(folder.resolve()), "seed": seed}
    return standins.SAYS | {standins.VARIABLE: msgspec.json.encode(asked).decode()}


def known_late(front: Front, seq: int) -> None:
    """Let the configuration on disk be of a time when the change log had come that far."""
    path = front.folder / "config.json"
    found = msgspec.json.decode(path.read_bytes())
    found["known"]["seq"] = found["known"]["results"][-1]["seq"] = seq
    write_whole(path, found)


def write_policy(fleet: Topology, front: Front) -> None:
    """Write the settings of policy rollouts, with a trace of its own for each incarnation."""
    trace = front.folder / f"trace-{len(front.traces)}.jsonl"
    trace.unlink(missing_ok=True)  # of an earlier run
    front.traces.append((unix_ms(), trace))
    settings = {"version": 1, "trace": trace.name, **(fleet.scenario.policy or {})}
    write_whole(front.folder / "policy.json", settings)


def sessions(asked: dict[str, Any]) -> dict[str, Any]:
    """The settings of sessions: a scenario's over the lab's own, part by part."""
    own: dict[str, Any] = {"version": 1, "handover": HANDOVER_RULES, "trace": "trace.jsonl"}
    found = {**own, **asked}
    if "handover" in asked:
        found["handover"] = {**HANDOVER_RULES, **asked["handover"]}
    if (asked.get("foresight") or {}).get("mode") == "oracle":
        found["foresight"] = {"told": "told.jsonl", **asked["foresight"]}
    return found


def config(fleet: Topology, front: Front, beside: bool = False) -> dict[str, Any]:
    """The configuration of a front end; `beside` is for a second process, while the first one runs."""
    members = fleet.entries(front)
    return {
        "name": front.name,
        "listen": f"{front.host}:{PORT}",
        "control": f"{front.host}:{CONTROL[front.number % 2]}",
        "changelog": fleet.relays[front.name, "changelog", "roster"].host_port,
        "seed": f"{hash_of(f'{fleet.seed}/{front.name}/{len(front.lives)}/{front.number}'):016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": front.log.known(members) if beside else front.log.begin(members),
        "settings": _settings(fleet, front),
    }


def _settings(fleet: Topology, front: Front) -> dict[str, Any]:
    return {
        "classes": [_class(kind) for kind in KINDS],
        "tenants": _tenants(fleet, front),
        "bounds": {
            "max_attempts": 3,
            "cancel": True,
            "second_copies": True,
            "dial_timeout": 250.0,
            "retry_after": True,
            "max_retry_after": fleet.scenario.pushback_ms,
        },
        "family_info": {
            "may_order": True,
            "not_loaded": "load",
            "notes_peers_in_hand": True,
            "idle_life": 9_000.0,
            **RATION,
        },
        "invariants": RULES,
        "fleet_size": len(fleet.fronts),
        "locality": front.zone,
        "weight_source": "nominal",
        "costs": PRICES,
    }


def _class(kind: Kind) -> dict[str, Any]:
    return {
        "name": kind.name,
        "effect": kind.effect,
        "promise": kind.promise_ms,
        "give_up": kind.give_up_ms,
        "group": "all",
        "dedup_window": DEDUP_MS if kind.effect == "deduplicated" else 0.0,
        "worth": kind.worth,
    }


def _tenants(fleet: Topology, front: Front) -> list[dict[str, Any]]:
    """Quotas as the scenario has them, else equal parts of somewhat more than all clients ask."""
    sold = sum(spec.rps for spec in fleet.scenario.zones.values()) * 1.25
    return [
        {"name": name, "quota_rps": fleet.scenario.quotas.get(name, sold / len(TENANTS))}
        for name in TENANTS
        if fleet.scenario.lacks.get(front.name) != name
    ]
