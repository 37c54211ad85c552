"""The command-line application."""

from __future__ import annotations

import typer

from coltsfoottray.cli import daemons, demo, lists, losses, queries, run

__all__ = ["app"]

app = typer.Typer(
    help="Schedules latency-critical services and batch tasks on shared machines.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
app.command("entry")(daemons.run_entry)
app.command("attendant")(daemons.run_attendant)
app.command("run")(run.run)
app.command("check")(daemons.check)
app.command("demo")(demo.demo)
app.command("explain")(queries.explain)
app.command("losses")(losses.losses)
app.command("status")(queries.status)
app.add_typer(lists.app, name="lists")


if __name__ == "__main__":
    app()
