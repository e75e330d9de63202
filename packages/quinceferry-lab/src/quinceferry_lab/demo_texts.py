"""Long text inputs of the kinds that callers send: a club's year ledger and a loss history."""

import random

LEDGER_ENTRIES = 724
LOSS_ENTRIES = 480

_ACCOUNTS = ("membership fees", "hall rent", "concert tickets", "travel", "sheet music", "grants")
_CAUSES = ("rear collision", "load shift", "reversing", "windscreen", "theft of load", "hail")


def year_ledger(generator: random.Random) -> str:
    """Return a year of a club's ledger, one posting a line."""
    lines = ["date;voucher;account;debit;credit;text"]
    for number in range(1, LEDGER_ENTRIES + 1):
        account = generator.choice(_ACCOUNTS)
        cents = generator.randrange(500, 90_000)
        amount = f"{cents // 100}.{cents % 100:02d}"
        debit, credit = (amount, "") if generator.random() < 0.5 else ("", amount)
        day = f"2026-{1 + number * 12 // (LEDGER_ENTRIES + 1):02d}-{generator.randint(1, 28):02d}"
        lines.append(f"{day};V{number:04d};{account};{debit};{credit};{account} no {number}")
    return "\n".join(lines)


def loss_history(generator: random.Random) -> str:
    """Return the losses of a haulier's fleet, one claim a line."""
    lines = ["claim;vehicle;date;cause;paid;reserved;driver years"]
    for number in range(1, LOSS_ENTRIES + 1):
        cause = generator.choice(_CAUSES)
        day = f"202{generator.randint(1, 6)}-{generator.randint(1, 12):02d}-15"
        paid = generator.randrange(0, 40_000)
        reserved = generator.randrange(0, 9_000)
        years = generator.randint(0, 35)
        lines.append(
            f"C{number:05d};TRUCK-{number % 60:02d};{day};{cause};{paid};{reserved};{years}"
        )
    return "\n".join(lines)
