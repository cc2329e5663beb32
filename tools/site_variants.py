#!/usr/bin/env python3
"""Writes deployments with other figures, made from a site file, for runs of `fleetbench hunt` and `fleetbench run`.

    tools/site_variants.py SITE.toml FOLDER [VARIANT...]     FOLDER lies outside the repository; without VARIANT, all

The days keep their marks ('one', 'zero', 'floor'), which mean nothing there: rules and faults are what such a run shows.
"""

import pathlib
import re
import shutil
import sys

ZONE_LINE = re.compile(r'^  \{ (?:name = "([^"]+)", region|zone = "([^"]+)", mix|class = "front".* zone = "([^"]+)")')


def figure(text, name, value):
    """Sets `name = figure` wherever it stands at the start of a line or in a table."""
    changed, count = re.subn(rf"(?<![A-Za-z_]){name} = [0-9.]+", f"{name} = {value}", text)
    if not count:
        raise SystemExit(f"no {name} in the site file")
    return changed


def scaled(text, name, factor):
    """Multiplies every `name = figure`."""
    return re.sub(rf"(?<![A-Za-z_]){name} = ([0-9.]+)", lambda found: f"{name} = {float(found[1]) * factor:.4g}", text)


def zones(text):
    """The names of the site's zones, in order."""
    return re.findall(r'^  \{ name = "([^"]+)", region', text, re.MULTILINE)


def tolerate(text, machines, zones_lost):
    """What the deployment bears at once."""
    return re.sub(r"(?<=\[tolerate\]\n)machines = \d+\nzones = \d+", f"machines = {machines}\nzones = {zones_lost}", text)


def core_machines(text, counts):
    """Core machines by zone, of which two may be lost."""
    for name, machines in zip(zones(text), counts):
        text, count = re.subn(rf'(class = "core", zone = "{name}", count =) 1', rf"\1 {machines}", text)
        if count != 1:
            raise SystemExit(f"{name} has no core machine: fewer than five can't bear the loss of two")
    return tolerate(text, 2, 0)


def five_cores(text):
    """Five core machines, of which two may be lost."""
    return core_machines(text, (2, 2, 1))


def eight_cores(text):
    """Eight core machines, of which two may be lost."""
    return core_machines(text, (3, 3, 2))


def more_zones(text):
    """Two more zones of clients and proxies, without core machines or hosts of their own."""
    added = dict(zip(zones(text), ("northfield", "southfield")))
    lines = []
    for line in text.split("\n"):
        lines.append(line)
        found = ZONE_LINE.match(line)
        name = found and next(group for group in found.groups() if group)
        if name in added:
            if "mix = " in line:
                lines[-1] = line = scaled(line, "per_s", 0.5)
            lines.append(line.replace(f'"{name}"', f'"{added[name]}"'))
    return "\n".join(lines)


def half_processor(text):
    """Half of the processor on every machine."""
    return scaled(text, "cpu_share", 0.5)


def slow_disks(text):
    """Disks that take 20 ms a sync."""
    return figure(text, "sync_ms", 20)


def short_bounds(text):
    """Contact 2 s, drain 1 s, apply 1 s."""
    return figure(figure(figure(text, "touch_ms", 2000), "drain_ms", 1000), "config_ms", 1000)


def zone_lost(text):
    """A whole zone may be lost."""
    return tolerate(text, 1, 1)


def other_names(text):
    """Other names of zones, services and classes of requests."""
    services = re.findall(r'^  \{ name = "([^"]+)", (?:model|servers)', text, re.MULTILINE)
    classes = re.findall(r'^  \{ name = "([^"]+)", aim_ms', text, re.MULTILINE)
    for kind, names in (("meadow", zones(text)), ("mill", services), ("errand", classes)):
        for number, name in enumerate(names):
            text = re.sub(rf"(?<![\w-]){re.escape(name)}(?![\w-])", f"{kind}-{number}", text)
    return text


def health_open(text):
    """Hosts whose health flaps or lies may be among the troubles."""
    return text.replace('contracts = ["base", ', 'contracts = ["base", "health", ')


def many_tenants(text):
    """Three times the tenants, limits just above what they use, half of the window."""
    text = figure(text, "quota_x", 1.1)
    text = figure(text, "quota_window_s", 4.0)
    return re.sub(r"(?<=\[tenants\]\n)count = \d+", "count = 48", text)


def without_limits(text):
    """Limits so far above what the tenants use that none is ever reached."""
    return figure(text, "quota_x", 50.0)


def revocation(text):
    """Keys that are taken away have to end everywhere in time, in touch or not."""
    return text.replace("closed = false", "closed = true")


def all_at_once(text):
    """Five cores, slow disks, short bounds, two more zones and other names together."""
    for change in (five_cores, other_names, more_zones, slow_disks, short_bounds):
        text = change(text)
    return text


VARIANTS = {
    change.__name__.replace("_", "-"): change
    for change in (five_cores, eight_cores, more_zones, half_processor, slow_disks, short_bounds, zone_lost, other_names, health_open, many_tenants, without_limits, revocation, all_at_once)
}


def main():
    site, folder = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    shutil.copy(site.with_name("wire.json"), folder / "wire.json")
    text = site.read_text()
    for name in sys.argv[3:] or VARIANTS:
        own = f"{site.stem}-{name}"
        changed = VARIANTS[name](re.sub(r'(?m)\Aname = "[^"]+"', f'name = "{own}"', text))
        (folder / f"{own}.toml").write_text(changed)
        print(folder / f"{own}.toml")


if __name__ == "__main__":
    main()
