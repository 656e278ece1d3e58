"""`fawnwharf recovery`: what operators see of a folder of durable state, and what they do about one."""

import collections
import contextlib
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import typer

from fawnwharf.consensus.records import DiskError
from fawnwharf.durable_store import file_format as f
from fawnwharf.durable_store import repairs
from fawnwharf.durable_store.folder import DiskFolder, lock_folder, unlock_folder
from fawnwharf.durable_store.folder_reader import FolderState, UnreadableFolderError
from fawnwharf.durable_store.operations import DiskJob, execute_job
from fawnwharf.durable_store.store import inspect_folder, unix_ms

app = typer.Typer(no_args_is_help=True, help="What outlives a front end, in its folder.")
Place = Annotated[Path, typer.Argument(metavar="FOLDER", help="A front end's folder of durable state.")]


def _fail(text: str) -> None:
    typer.echo(f"fawnwharf: {text}", err=True)
    raise typer.Exit(2)


@contextlib.contextmanager
def _held(path: Path) -> Iterator[DiskFolder]:
    """The folder, that no process has; every fault ends the command with one line and status 2."""
    held = -1
    try:
        held = lock_folder(path, create=False)
        yield DiskFolder(path)
    except DiskError as error:
        _fail(f"recovery: {error}")
    except UnreadableFolderError as error:
        _fail(f"recovery: {path / error.name if error.name else path}: {error.why}")
    except OSError as error:
        _fail(f"recovery: {error.filename or path}: {error.strerror}")
    finally:
        unlock_folder(held)


def _tell(found: FolderState) -> None:
    sign = found.sign
    kinds = collections.Counter(kind for kind, _ in found.entries)
    size = sum(f.entry_size(key, value) for key, value in found.entries.items())
    written = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(found.at_ms / 1_000.0))
    typer.echo(f"member {found.name} of fleet {found.fleet}, disk {sign.mark}")
    typer.echo(f"life {sign.life}, number {sign.number}, written last at {written} UTC by its own clock")
    typer.echo(f"its writer {'ended in order' if found.ended else 'did not end in order'}")
    typer.echo(f"{len(found.entries)} entries, {size} bytes, from {', '.join(found.read)}")
    for kind, count in sorted(kinds.items()):
        typer.echo(f"  {kind}: {count}")
    if found.torn:
        typer.echo(f"{found.torn} bytes of a torn tail, told to nobody: they do not count")
    if found.repaired:
        typer.echo(f"repaired, and not confirmed by others since: {found.repaired}")


@app.command()
def verify(folder: Place) -> None:
    """Read a folder whose front end does not run, change nothing, and say what it holds. Status 2 where it
    can't be read."""
    with _held(folder) as files:
        found = inspect_folder(files, "", "", f.StoreLimits())
        if found.fresh:
            raise UnreadableFolderError("", "holds no durable state")
        _tell(found)


@app.command()
def repair(
    folder: Place, dry_run: Annotated[bool, typer.Option("--dry-run", help="Say it, change nothing.")] = False
) -> None:
    """Write what is certain of a damaged folder anew, and set its files aside. Status 2 where nothing is left
    to go on from."""
    with _held(folder) as files:
        mine = [name for name in files.names() if f.parse_file_name(name) is not None]
        found = repairs.plan_repair({name: files.read(name) for name in mine})
        if found is None:
            typer.echo("nothing to repair")
            return
        typer.echo(f"can't be read: {found.why}")
        sign = found.keeps.sign
        typer.echo(f"kept: {len(found.keeps.entries)} entries, up to life {sign.life}, number {sign.number}")
        for line in found.loses:
            typer.echo(f"lost: {line}")
        typer.echo(f"set aside: {', '.join(found.aside)}")
        if dry_run:
            typer.echo("nothing was changed")
            return
        outcome = _done(files, folder, repairs.first_repair_job(found))
        _done(files, folder, repairs.second_repair_job(found, outcome, unix_ms()))
        typer.echo("repaired; its member takes nothing of it for sure before others confirm it")


def _done(files: DiskFolder, path: Path, job: DiskJob) -> int:
    outcome = execute_job(files, job)
    if outcome.failed:
        raise DiskError(f"{path}: {outcome.failed}")
    return outcome.inode
