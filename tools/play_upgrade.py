#!/usr/bin/env python3
"""Builds two commits and rolls one over the other on loopback, and back, with the promises of the soak checked.

    tools/play_upgrade.py --production=COMMIT [--tip=COMMIT] [--seeds=10] [--first=1]

Without --production, the commit that deploy/system.toml names. Each seed is played in both directions by
test/soak/entry_upgrade.py. The builds are kept in build-COMMIT beside the checkout's build folder, without tests.
"""
import argparse
import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def output(*command):
    return subprocess.run(command, cwd=ROOT, check=True, capture_output=True, text=True).stdout.strip()


def production():
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as deploy:
        return re.search(r'^production = "([0-9a-f]+)"$', deploy.read(), re.MULTILINE).group(1)


def build(commit):
    """Returns the folder with the commit's oleanderd."""
    folder = os.path.join(ROOT, f"build-{output('git', 'rev-parse', '--short=12', commit)}")
    sources = os.path.join(folder, "sources")
    if not os.path.exists(os.path.join(folder, "oleanderd")):
        os.makedirs(sources, exist_ok=True)
        archive = subprocess.Popen(["git", "archive", commit], cwd=ROOT, stdout=subprocess.PIPE)
        subprocess.run(["tar", "-x", "-C", sources], stdin=archive.stdout, check=True)
        if archive.wait() != 0:
            sys.exit(f"git archive {commit} failed")
        environment = dict(os.environ, CCACHE_BASEDIR=sources, CCACHE_NOHASHDIR="1")
        subprocess.run(["cmake", "-S", sources, "-B", folder, "-G", "Ninja", "-DOLEANDER_DAEMON_ONLY=ON"], check=True,
                       env=environment, stdout=subprocess.DEVNULL)
        subprocess.run(["cmake", "--build", folder, "--target", "oleanderd"], check=True, env=environment,
                       stdout=subprocess.DEVNULL)
    return folder


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--production", default=None)
    parser.add_argument("--tip", default="HEAD")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    options = parser.parse_args()
    old, new = build(options.production or production()), build(options.tip)
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        for name, begins, other in (("old, new, old", old, new), ("new, old, new", new, old)):
            print(f"seed {seed}, {name}:", flush=True)
            failed += subprocess.run([sys.executable, "test/soak/entry_upgrade.py", f"--build={begins}",
                                      f"--other={other}", f"--seed={seed}"], cwd=ROOT, check=False).returncode != 0
    print(f"{options.seeds} seeds, each in both directions: {failed} did not hold")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
