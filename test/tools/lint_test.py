"""Tests that the linter's verdict on a file is kept only while all that it depends on stays the same."""

import os
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "tools"))

import lint  # noqa: E402

FLAGS = ["-O2", "-std=c++20"]


class Checkout:
    """A checkout with one source file and one header that it includes."""

    def __init__(self, test, header="int F();\n"):
        folder = tempfile.TemporaryDirectory()
        test.addCleanup(folder.cleanup)
        self.root = folder.name
        self.files = [os.path.join(self.root, name) for name in ("a.cc", "a.h")]
        for file, text in zip(self.files, ('#include "a.h"\n', header)):
            with open(file, "w", encoding="utf-8") as stream:
                stream.write(text)

    def cache(self, folder, version="19.1", configuration="Checks: >"):
        return lint.Cache(folder, version, configuration, self.root)

    def flags(self):
        return [*FLAGS, f"-I{self.root}/include"]


class KeptVerdict(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        passed = Checkout(self)
        cache = passed.cache(self.folder)
        cache.add_pass(cache.key(passed.flags(), passed.files))

    def is_kept(self, checkout, flags=None, **common):
        cache = checkout.cache(self.folder, **common)
        return cache.has_passed(cache.key(flags or checkout.flags(), checkout.files))

    def test_holds_in_another_checkout(self):
        self.assertTrue(self.is_kept(Checkout(self)))

    def test_ends_with_a_change_of_an_included_header(self):
        self.assertFalse(self.is_kept(Checkout(self, header="int  F();\n")))

    def test_ends_with_a_change_of_the_compile_command(self):
        checkout = Checkout(self)
        self.assertFalse(self.is_kept(checkout, flags=[*checkout.flags(), "-DX"]))

    def test_ends_with_another_configuration(self):
        self.assertFalse(self.is_kept(Checkout(self), configuration="Checks: -*"))

    def test_ends_with_another_linter(self):
        self.assertFalse(self.is_kept(Checkout(self), version="19.2"))


class CompileFlags(unittest.TestCase):
    def test_are_those_between_compiler_and_files(self):
        command = "/usr/bin/ccache /usr/bin/c++ -DA -Iinclude -o a.o -c a.cc"
        self.assertEqual(lint.compile_flags(command), ["-DA", "-Iinclude"])


if __name__ == "__main__":
    unittest.main()
