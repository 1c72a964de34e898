# The commands a developer needs. Each sets up what a fresh machine lacks.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: setup build check demo format lint test bench clean

setup:
	@bash .ci/setup

build: setup
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

format:
	@git ls-files '*.cc' '*.h' | xargs clang-format --dry-run --Werror

lint: build
	@git ls-files 'src/*.cc' 'tests/*.cc' 'platform/*.cc' | grep -v '^src/rpc/codec.cc' | \
	  xargs -P $(JOBS) -n 2 clang-tidy -p $(BUILD) --quiet 2>/dev/null

test: build
	@cd $(BUILD) && ctest --output-on-failure -j $(JOBS)

check: format lint test
	@sed 's/^/known red: /' KNOWN-RED.txt 2>/dev/null || true

demo: build
	@$(BUILD)/tests/process/demo --bin $(BUILD)

bench: build
	@$(BUILD)/src/gentianctl/gentianctl bench

clean:
	@rm -rf $(BUILD)
