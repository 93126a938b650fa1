"""The command line of ``curranthill-load``."""

import typer

app = typer.Typer()


def main() -> None:
    """Run the command line."""
    app()
