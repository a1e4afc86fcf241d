#!/usr/bin/env python3
"""Runs clang-tidy on the project's sources and prints its findings.

    tools/lint.py --build=build [FILE...]

A file without findings is not checked again while its text, the text of every header that it includes, its compile
command, .clang-tidy and the version of clang-tidy stay the same. These verdicts are kept outside the checkout, in
$XDG_CACHE_HOME/oleander-lint or ~/.cache/oleander-lint.
"""
import argparse
import concurrent.futures
import functools
import hashlib
import json
import os
import shlex
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
LINTER = "clang-tidy-19"
COMPILER = "clang++-19"
SOURCES = ("src/*.cc", "platform/*.cc", "apps/*.cc", "docs/*.cc", "test/*.cc")
NOT_LINTED = ("src/gen/", "test/fuzz/")  # Generated code, and targets that only a build with clang has.


def sources():
    listed = subprocess.run(["git", "ls-files", "-co", "--exclude-standard", *SOURCES], cwd=ROOT, check=True,
                            capture_output=True, text=True).stdout.split()
    return [file for file in listed if not file.startswith(NOT_LINTED)]


def compile_flags(command):
    """Returns the flags of a compile command, without its compiler, input and output."""
    words = shlex.split(command)
    start = next(i for i, word in enumerate(words) if word.startswith("-"))
    flags = []
    skipped = False
    for word in words[start:]:
        if skipped or word in ("-o", "-c"):
            skipped = not skipped
            continue
        flags.append(word)
    return flags


def included_files(file, flags):
    """Returns the file and all headers that it includes; raises CalledProcessError if it does not compile."""
    rule = subprocess.run([COMPILER, "-Wno-unknown-warning-option", *flags, "-M", file], cwd=ROOT, check=True,
                          capture_output=True, text=True).stdout
    return shlex.split(rule.replace("\\\n", " "))[1:]


@functools.lru_cache(maxsize=None)
def text_digest(path):
    with open(path, "rb") as stream:
        return hashlib.sha256(stream.read()).hexdigest()


class Cache:
    """Files that had no findings, by a digest of all that the linter's verdict depends on."""

    def __init__(self, folder, linter_version, configuration, root):
        self.folder = folder
        self.common = (linter_version, configuration)
        self.root = root
        os.makedirs(folder, exist_ok=True)

    def key(self, flags, files):
        # A verdict holds in every checkout, whatever its path.
        digest = hashlib.sha256(repr((self.common, [flag.replace(self.root, ".") for flag in flags])).encode())
        for path in files:
            digest.update(f"{path.replace(self.root, '.')} {text_digest(path)}\n".encode())
        return digest.hexdigest()

    def has_passed(self, key):
        return os.path.exists(os.path.join(self.folder, key))

    def add_pass(self, key):
        with open(os.path.join(self.folder, key), "w", encoding="utf-8"):
            pass


def lint(file, flags, build, cache):
    """Returns whether the file has no findings, the linter's output, and whether the verdict was kept."""
    path = os.path.join(ROOT, file)
    try:
        key = cache.key(flags, included_files(path, flags))
    except subprocess.CalledProcessError:
        key = None  # The linter reports the error.
    if key is not None and cache.has_passed(key):
        return True, "", True
    run = subprocess.run([LINTER, "-p", build, "--quiet", path], cwd=ROOT, capture_output=True, text=True, check=False)
    good = run.returncode == 0
    if good and key is not None and not run.stdout.strip():
        cache.add_pass(key)
    return good, run.stdout if good or run.stdout.strip() else run.stderr, False


def default_cache_folder():
    return os.path.join(os.environ.get("XDG_CACHE_HOME") or os.path.expanduser("~/.cache"), "oleander-lint")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build", help="the folder with compile_commands.json")
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    parser.add_argument("files", nargs="*", help="relative to the repository; default: all sources")
    arguments = parser.parse_args()
    with open(os.path.join(arguments.build, "compile_commands.json"), encoding="utf-8") as stream:
        flags = {os.path.relpath(entry["file"], ROOT): compile_flags(entry["command"]) for entry in json.load(stream)}
    version = subprocess.run([LINTER, "--version"], check=True, capture_output=True, text=True).stdout
    with open(os.path.join(ROOT, ".clang-tidy"), encoding="utf-8") as stream:
        cache = Cache(default_cache_folder(), version, stream.read(), ROOT)
    files = arguments.files or sources()
    failed, kept = [], 0
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        runs = {pool.submit(lint, file, flags.get(file, []), os.path.abspath(arguments.build), cache): file
                for file in files}
        for run in concurrent.futures.as_completed(runs):
            good, output, was_kept = run.result()
            kept += was_kept
            print(output, end="", flush=True)
            if not good:
                failed.append(runs[run])
    print(f"linter: {len(files)} files, {kept} unchanged since they passed, {len(failed)} with findings"
          + "".join(f"\n  {file}" for file in sorted(failed)))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
