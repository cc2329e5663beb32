#!/usr/bin/env python3
"""Checks `packages` in deploy/system.toml against what the build really uses.

    tools/build_packages.py

The build command of the deploy file runs in a target folder of its own, with a PATH that holds nothing but the Rust
tool chain, Debian's essential programs and the programs of the listed packages with all that they depend on: a build
that calls anything else fails. The linker tells every file that it reads. The check fails where such a file belongs to
a package that is neither listed nor a dependency of a listed one, where a listed package isn't used, and where README
doesn't name the same packages.
"""

import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / "target" / "build-packages"
DPKG = pathlib.Path("/var/lib/dpkg")
PROGRAM_FOLDERS = ("/usr/bin", "/usr/sbin", "/bin", "/sbin")
CERTIFICATES = "ca-certificates"
# A shell script: it stands in for the linker's driver and notes what the linker reads.
LINKER = """#!/bin/sh
exec cc "$@" -Wl,--trace >> "$LINKED_FILES"
"""


def package_records():
    """The installed packages' control fields by name."""
    records = {}
    for paragraph in (DPKG / "status").read_text().split("\n\n"):
        fields = dict(re.findall(r"^([A-Za-z-]+): (.*)$", paragraph, re.MULTILINE))
        if "installed" in fields.get("Status", "").split():
            records[fields["Package"]] = fields
    return records


def names_in(relation):
    """The package names of a dependency field, alternatives included."""
    return [re.sub(r"[ (:].*", "", name.strip()) for name in re.split(r"[,|]", relation) if name.strip()]


def with_dependencies(names, records):
    """The installed packages among `names` and all that they depend on."""
    providers = {}
    for name, fields in records.items():
        for provided in [name, *names_in(fields.get("Provides", ""))]:
            providers.setdefault(provided, set()).add(name)
    found, waiting = set(), list(names)
    while waiting:
        for name in providers.get(waiting.pop(), ()):
            if name not in found:
                found.add(name)
                fields = records[name]
                waiting += names_in(fields.get("Depends", "")) + names_in(fields.get("Pre-Depends", ""))
    return found


def file_owners():
    """The package that each installed file came with, by the file's real path."""
    owners = {}
    for listing in (DPKG / "info").glob("*.list"):
        package = listing.stem.split(":")[0]
        for path in listing.read_text().splitlines():
            if os.path.isfile(path):
                owners[os.path.realpath(path)] = package
    return owners


def link_programs(folder, packages, owners):
    """Fills `folder` with links to the programs of `packages`."""
    for place in PROGRAM_FOLDERS:
        for program in pathlib.Path(place).iterdir():
            link = folder / program.name
            if owners.get(os.path.realpath(program)) in packages and not link.is_symlink():
                link.symlink_to(program)


def build(command, programs, scratch):
    """Runs the build; the real paths of the files that its linker read."""
    linker, linked_files = scratch / "linker", scratch / "linked-files"
    linker.write_text(LINKER)
    linker.chmod(0o755)
    linked_files.touch()
    cargo_folder = os.path.dirname(shutil.which("cargo") or sys.exit("cargo is not on the PATH"))
    environment = {
        **os.environ,
        "PATH": f"{programs}:{cargo_folder}",
        "CARGO_TARGET_DIR": str(TARGET),
        "CARGO_TARGET_X86_64_UNKNOWN_LINUX_GNU_LINKER": str(linker),
        "LINKED_FILES": str(linked_files),
    }
    # What was linked before would not be linked, and so not told, again.
    shutil.rmtree(TARGET, ignore_errors=True)
    done = subprocess.run(["/bin/sh", "-c", command], cwd=ROOT, env=environment)
    shutil.rmtree(TARGET, ignore_errors=True)
    if done.returncode:
        sys.exit("the build fails with the listed packages alone")
    lines = (line.split("(")[0].strip() for line in linked_files.read_text().splitlines())
    return {os.path.realpath(line) for line in lines if line.startswith("/")}


def main():
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    listed = deploy.get("packages", [])
    records, owners = package_records(), file_owners()
    missing = [name for name in listed if name not in records]
    if missing:
        sys.exit(f"listed, but not installed here: {missing}")
    essential = [name for name, fields in records.items() if fields.get("Essential") == "yes"]
    allowed = with_dependencies([*listed, *essential], records)
    with tempfile.TemporaryDirectory() as scratch:
        programs = pathlib.Path(scratch) / "programs"
        programs.mkdir()
        link_programs(programs, allowed, owners)
        read = build(deploy["build"], programs, pathlib.Path(scratch))
        driver = os.path.realpath(programs / "cc")
    installed = {path: owners[path] for path in read | {driver} if path in owners}
    if len(installed) < 2:
        sys.exit("the linker told of no file that a package owns: the check does not see the build")
    faults = [f"{path} belongs to {owner}, which is not listed" for path, owner in installed.items() if owner not in allowed]
    used = set(installed.values())
    if "registry+" in (ROOT / "Cargo.lock").read_text():
        used.add(CERTIFICATES)
    for name in listed:
        others = [other for other in listed if other != name]
        if used <= with_dependencies([*others, *essential], records):
            faults.append(f"{name} is listed, and nothing that the build uses is missing without it")
    readme = (ROOT / "README.md").read_text()
    set_up = f"apt-get install {' '.join(listed)}"
    if set_up not in readme:
        faults.append(f"README.md does not say: {set_up}")
    if faults:
        sys.exit("\n".join(faults))
    print(f"packages of the build: {', '.join(listed)} ({len(installed)} files of {len(used)} packages looked at)")


if __name__ == "__main__":
    main()
