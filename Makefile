SHELL := /bin/bash
GO ?= go

.PHONY: all build run check fmt fmt-check lint vet test fuzz models faults crowd soak slopes cost known-red tools

all: build

build:
	$(GO) build -o bin/ ./cmd/...

# Starts the simulated systems and the daemons on loopback, sends one request of each kind, stops.
run: build
	scripts/run.sh

check: tools fmt-check vet lint test fuzz models crowd known-red

tools:
	@command -v $(GO) >/dev/null || { echo "missing: go (install Go 1.26 or later)"; exit 1; }
	@for tool in gcc spin; do \
	  command -v $$tool >/dev/null || { apt-get update -qq && apt-get install -y -qq $$tool; } || \
	  { echo "missing: $$tool, and the package manager did not install it"; exit 1; }; done

fmt:
	$(GO) tool goimports -local shallotcourse -w $$(git ls-files '*.go')

fmt-check:
	@out=$$($(GO) tool goimports -local shallotcourse -l $$(git ls-files -co --exclude-standard '*.go')); \
	if [ -n "$$out" ]; then echo "not formatted (run make fmt):"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet ./...
	$(GO) vet -tags faults ./...
	$(GO) vet -tags crowd ./test/crowd

lint:
	$(GO) tool staticcheck -tags faults ./...
	$(GO) tool staticcheck -tags crowd ./test/crowd
	$(GO) tool revive -config revive.toml -set_exit_status ./...

# Tests that fail for a known reason, as listed in KNOWN-RED.txt; make test and make crowd skip
# them.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\)$$/\1/p' KNOWN-RED.txt | paste -sd '|')

test:
	$(GO) test -race -count=1 $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./...

# Fuzzes each decoder that reads from outside. A failing input stays in testdata/fuzz
# of the package and is a test from then on. The limit is a number of runs: at the end
# of a time, Go's fuzzer may report "context deadline exceeded" without a failure.
FUZZTIME ?= 200000x
FUZZERS := internal/proxy:FuzzEventReader platform:FuzzDecodeTarget platform:FuzzReport platform:FuzzDecodeConfig platform:FuzzRequestHeaders \
  internal/wire:FuzzDecode internal/conf:FuzzParseGateway internal/httpc:FuzzHead
fuzz:
	@set -e; for f in $(FUZZERS); do \
	  $(GO) test -run XXX -fuzz "^$${f#*:}$$" -fuzztime $(FUZZTIME) "./$${f%:*}"; done

models:
	scripts/models.sh

# Crowds of misbehaving callers at the real processes, one test after the other.
crowd:
	$(GO) test -tags crowd -count=1 -timeout 10m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./test/crowd

# Tests of the real processes under injected faults; bounded in time, the seeds are logged.
faults: build
	$(GO) test -tags faults -count=1 -timeout 20m -v ./test/faults/...

# Random faults on gateway processes; a failed seed is logged with the command that repeats it.
SEED ?= 1
SEEDS ?= 50
LENGTH ?= 12s
GATEWAYS ?= 4
soak:
	$(GO) test ./test/soak -count=1 -timeout 2h -v -run TestSoak -args -seed $(SEED) -seeds $(SEEDS) -length $(LENGTH) -gateways $(GATEWAYS)

slopes: build
	bin/lab slopes

# Measures the time and processor time that the router adds to its engines.
cost: build
	scripts/cost.sh

known-red:
	@if [ -f KNOWN-RED.txt ]; then echo "known failures, see KNOWN-RED.txt:"; cat KNOWN-RED.txt; fi
