"""Runs all measurements of the quick lane and of placement: ``make bench``."""

from bench import decisions, placement, quick


def main() -> None:
    """Run the measurements sequentially."""
    quick.main()
    decisions.main()
    placement.main()


if __name__ == '__main__':
    main()
