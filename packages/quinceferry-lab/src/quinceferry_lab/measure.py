"""Prints the measurements of budgets and of routing, each with its bars."""

import argparse

from quinceferry_lab import measure_budgets, measure_routing


def main() -> None:
    """Print both reports."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="source of all draws")
    arguments = parser.parse_args()
    print("Budgets: equal split against quinceferry", flush=True)
    print(measure_budgets.report(arguments.seed), flush=True)
    print("\nRouting: random and least reported load against quinceferry", flush=True)
    print(measure_routing.report(arguments.seed), flush=True)


if __name__ == "__main__":
    main()
