# Seed of all property tests, fixed so that CI gives the same result every time.
RAPID_SEED ?= 20261204
RAPID_CHECKS ?= 100

.PHONY: build test demo fmt soak

build:
	go build -o bin/ ./cmd/...

test:
	@# Only packages with property tests accept rapid's flags; the others would fail.
	@scripts/test.sh $(RAPID_SEED) $(RAPID_CHECKS)

demo: build
	scripts/demo.sh

# Number of fresh seeds of the soak test; the logs of failed seeds are kept in SOAK_KEEP.
SEEDS ?= 5
SOAK_KEEP ?= /tmp/savorytiller-soak
soak:
	go test ./platform/soak -count=1 -v -timeout 60m -soak.seeds=$(SEEDS) -soak.keep=$(SOAK_KEEP)

fmt:
	gofmt -w $$(git ls-files '*.go')
