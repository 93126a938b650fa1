"""Every measurement of the quick lane and of placement: ``make bench``."""

from bench import decisions, placement, quick


def main() -> None:
    """Run them one after the other."""
    quick.main()
    decisions.main()
    placement.main()


if __name__ == '__main__':
    main()
