MAKEFLAGS += --no-print-directory
# Front of the CMake build.
#   make demo    build and run the whole path on this machine
#   make check   build with sanitizers and run every test
#   make lint    formatter and linter
#   make format  rewrite layout
#   make fuzz    longer fuzzing (FUZZ_SECONDS for each target)
#   make bench   the measures, one table
BUILD := build
FUZZ_SECONDS ?= 60
JOBS := $(shell nproc)

all: release

deps:
	@scripts/install-deps

release: deps
	@cmake -S . -B $(BUILD)/release -DCMAKE_BUILD_TYPE=RelWithDebInfo \
	    -DCMAKE_C_COMPILER=gcc -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
	@cmake --build $(BUILD)/release -j $(JOBS)

sanitized: deps
	@cmake -S . -B $(BUILD)/sanitized -DCMAKE_BUILD_TYPE=Debug \
	    -DCMAKE_C_COMPILER=clang -DSANITIZE=ON \
	    -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
	@cmake --build $(BUILD)/sanitized -j $(JOBS)

check: sanitized
	@scripts/check $(BUILD)/sanitized

demo: release
	@scripts/demo $(BUILD)/release

# What the build says goes to standard error: the table may be JSON.
bench:
	@$(MAKE) release >&2
	@scripts/bench $(BUILD)/release $(BENCH_FLAGS)

fuzz: sanitized
	@scripts/fuzz $(BUILD)/sanitized $(FUZZ_SECONDS)

lint: release sanitized
	@scripts/lint $(BUILD)/sanitized

format: deps
	@find src platform tests -name '*.[ch]' -not -path '*/gen/*' | \
	    xargs clang-format -i

clean:
	rm -rf $(BUILD)

.PHONY: all deps release sanitized check demo bench fuzz lint format clean
