"""`fawnwharf recovery`: shows operators a folder of durable state, and repairs it."""

import collections
import contextlib
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, NoReturn

import typer

from fawnwharf.consensus.records import DiskError
from fawnwharf.durable_store import file_format, repairs
from fawnwharf.durable_store.folder import DiskFolder, lock_folder, unlock_folder
from fawnwharf.durable_store.folder_reader import FolderState, UnreadableFolderError
from fawnwharf.durable_store.operations import DiskJob, execute_job
from fawnwharf.durable_store.store import inspect_folder, unix_ms

app = typer.Typer(no_args_is_help=True, help="What outlives a front end, in its folder.")
FolderArgument = Annotated[
    Path, typer.Argument(metavar="FOLDER", help="A front end's folder of durable state.")
]


def _fail(text: str) -> NoReturn:
    typer.echo(f"fawnwharf: {text}", err=True)
    raise typer.Exit(2)


@contextlib.contextmanager
def _locked(path: Path) -> Iterator[DiskFolder]:
    """The folder, locked; every error ends the command with one line and status 2."""
    lock = -1
    try:
        lock = lock_folder(path, create=False)
        yield DiskFolder(path)
    except DiskError as error:
        _fail(f"recovery: {error}")
    except UnreadableFolderError as error:
        _fail(f"recovery: {path / error.name if error.name else path}: {error.why}")
    except OSError as error:
        _fail(f"recovery: {error.filename or path}: {error.strerror}")
    finally:
        unlock_folder(lock)


def _show(state: FolderState) -> None:
    position = state.position
    counts = collections.Counter(kind for kind, _ in state.entries)
    size = sum(file_format.entry_size(key, value) for key, value in state.entries.items())
    written = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(state.at_ms / 1_000.0))
    typer.echo(f"member {state.name} of fleet {state.fleet}, disk {position.disk_id}")
    typer.echo(
        f"life {position.incarnation}, number {position.number}, "
        f"written last at {written} UTC by its own clock"
    )
    typer.echo(f"its writer {'ended in order' if state.closed_cleanly else 'did not end in order'}")
    typer.echo(f"{len(state.entries)} entries, {size} bytes, from {', '.join(state.files_read)}")
    for kind, count in sorted(counts.items()):
        typer.echo(f"  {kind}: {count}")
    if state.torn_bytes:
        typer.echo(f"{state.torn_bytes} bytes of a torn tail, told to nobody: they do not count")
    if state.repaired:
        typer.echo(f"repaired, and not confirmed by others since: {state.repaired}")


@app.command()
def verify(folder: FolderArgument) -> None:
    """Read a folder whose front end does not run, change nothing, and say what it holds.

    Status 2 where it can't be read.
    """
    with _locked(folder) as files:
        state = inspect_folder(files, "", "", file_format.StoreLimits())
        if state.fresh:
            raise UnreadableFolderError("", "holds no durable state")
        _show(state)


@app.command()
def repair(
    folder: FolderArgument,
    dry_run: Annotated[bool, typer.Option("--dry-run", help="Say it, change nothing.")] = False,
) -> None:
    """Write what is certain of a damaged folder anew, and set its files aside.

    Status 2 where nothing is left to go on from.
    """
    with _locked(folder) as files:
        names = file_format.store_files(files.names())
        plan = repairs.plan_repair({name: files.read(name) for name in names})
        if plan is None:
            typer.echo("nothing to repair")
            return
        _show_plan(plan)
        if dry_run:
            typer.echo("nothing was changed")
            return
        inode = _execute(files, folder, repairs.first_repair_job(plan))
        _execute(files, folder, repairs.second_repair_job(plan, inode, unix_ms()))
        typer.echo("repaired; its member takes nothing of it for sure before others confirm it")


def _show_plan(plan: repairs.RepairPlan) -> None:
    position = plan.state.position
    typer.echo(f"can't be read: {plan.why}")
    typer.echo(
        f"kept: {len(plan.state.entries)} entries, "
        f"up to life {position.incarnation}, number {position.number}"
    )
    for line in plan.losses:
        typer.echo(f"lost: {line}")
    typer.echo(f"set aside: {', '.join(plan.files_set_aside)}")


def _execute(files: DiskFolder, path: Path, job: DiskJob) -> int:
    """The inode of the file that the job created. Raises DiskError."""
    result = execute_job(files, job)
    if result.error:
        raise DiskError(f"{path}: {result.error}")
    return result.inode
