# On a fresh machine, start with `make demo` and `make test`.
BUILD ?= build
SEED ?= 1
STEPS ?= 1000000
NAME ?= whole-path
MINUTES ?= 5
JOBS ?= $(shell nproc)

# Lets ccache share objects between checkouts in different folders.
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1

.PHONY: all deps build test lint format demo experiment bench capacity soak soak-processes fuzz clean

all: build

deps:
	@tools/install_packages.sh

build: deps
	@cmake -S . -B $(BUILD) -G Ninja > $(BUILD)-configure.log 2>&1 || { cat $(BUILD)-configure.log; exit 1; }
	@cmake --build $(BUILD) -j $(JOBS)

# LINT=1 also runs the format check and the linter.
test: build
ifeq ($(LINT),1)
	$(MAKE) lint BUILD=$(BUILD)
endif
	tools/run_tests.sh $(BUILD)

lint:
	tools/format.sh --check
	tools/check_wire_names.py
	tools/lint.py --build=$(BUILD)

format:
	tools/format.sh

demo: build
	python3 tools/experiment.py whole-path --seed=$(SEED) --build=$(BUILD) --demo

experiment: build
	python3 tools/experiment.py $(NAME) --seed=$(SEED) --build=$(BUILD)

bench: build
	tools/run_bench.sh $(BUILD)

capacity: build
	$(BUILD)/counted_capacity --report

soak: build
	OLEANDER_SOAK_SEED=$(SEED) OLEANDER_SOAK_STEPS=$(STEPS) $(BUILD)/test_random --log_level=message

# Runs the real programs under injected faults for MINUTES, seed after seed, beginning with SEED.
soak-processes: build
	test/soak/run_seeds.py --build=$(BUILD) --first=$(SEED) --minutes=$(MINUTES)

fuzz: deps
	tools/run_fuzz.sh

clean:
	rm -rf $(BUILD) $(BUILD)-configure.log
