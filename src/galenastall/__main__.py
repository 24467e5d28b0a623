"""Run the command line: `python -m galenastall`."""

from galenastall.cli.app import app


def main() -> None:
    """Run the command-line application."""
    app()


if __name__ == "__main__":
    main()
