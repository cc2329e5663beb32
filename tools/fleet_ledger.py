#!/usr/bin/env python3
"""Sums the logs of many coordinators (`--log trace`, one file each, each line behind the second of the day).

    tools/fleet_ledger.py DIR                a line for each second: queries, sends, outcomes, ends of connections
    tools/fleet_ledger.py DIR hosts T0 T1    a line for each host in that span, by cell, with the states it was told in
"""

import collections
import glob
import re
import sys

UNITS = {"µs": 1e-3, "ms": 1.0, "s": 1e3}


def records(folder):
    """Gives (second, file, words, line) of every line that can be read."""
    for name in glob.glob(folder + "/*.log"):
        with open(name, errors="replace") as lines:
            for line in lines:
                words = line.split()
                try:
                    yield float(words[0]), name, words, line
                except (ValueError, IndexError):
                    continue


def seconds(folder):
    table = collections.defaultdict(collections.Counter)
    for at, _, words, line in records(folder):
        count, kind = table[int(at)], words[3] if len(words) > 3 else ""
        end = re.search(r"end=(\w+)", line)
        if kind == "query":
            count.update({"queries": 1, "parts": int(words[8])})
        elif kind == "send":
            count["first" if words[6] == "n=0" else "resend"] += 1
        elif kind == "ended":
            count["." + words[5]] += 1
        elif kind == "answered":
            count["http " + words[4]] += 1
        elif kind in ("host", "list") and end:
            count[kind + " " + end.group(1)] += 1
    names = sorted({name for count in table.values() for name in count})
    print("s   " + " ".join(f"{n[:10]:>10}" for n in names))
    for at in sorted(table):
        print(f"{at:<4}" + " ".join(f"{table[at][n]:>10}" for n in names))


def millis(word):
    number, unit = re.fullmatch(r"([\d.]+)(µs|ms|s)", word).groups()
    return float(number) * UNITS[unit]


def hosts(folder, since, until):
    names = collections.defaultdict(dict)  # numbers of hosts are each coordinator's own
    count, times = collections.defaultdict(collections.Counter), collections.defaultdict(list)
    cells, told = {}, collections.defaultdict(dict)
    for at, name, words, _ in records(folder):
        if len(words) > 10 and words[3] == "list" and words[6] == "=":
            host = names[name][words[5]] = words[7]
            cells[host] = int(words[9])
            told[host][words[10]] = min(at, told[host].get(words[10], at))
        if not since <= at < until or len(words) < 6 or words[3] not in ("send", "ended"):
            continue
        host = names[name].get(words[4], words[4])
        what = "sent" if words[3] == "send" else words[5]
        count[host][what] += 1
        if what == "Ok":
            times[host].append(millis(words[6]))
    for host in sorted(count, key=lambda h: (cells.get(h, -1), h)):
        took = sorted(times[host]) or [0.0]
        print(f"cell {cells.get(host)} {host} {dict(count[host])} {took[len(took) // 2]:.0f} ms {told[host]}")


if __name__ == "__main__":
    if len(sys.argv) == 5 and sys.argv[2] == "hosts":
        hosts(sys.argv[1], float(sys.argv[3]), float(sys.argv[4]))
    elif len(sys.argv) == 2:
        seconds(sys.argv[1])
    else:
        sys.exit(__doc__)
