"""Run the command line: `python -m galenastall`."""

from galenastall.cli.app import app


def main() -> None:
    """Run the command that the arguments name."""
    app()


if __name__ == "__main__":
    main()
