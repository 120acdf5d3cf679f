MAKEFLAGS += --no-print-directory
# Targets that drive the CMake build.
#   make demo    build, then run a fleet with its backend servers on loopback
#   make check   build with sanitizers and run all tests
#   make lint    run clang-format (check only) and clang-tidy
#   make format  reformat the sources
#   make fuzz    fuzz each target for FUZZ_SECONDS
#   make bench   run the benchmarks and print one table
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

# Build output goes to standard error, because the table on standard output
# may be JSON.
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
