# Seed of all property tests: CI gives the same verdict every time.
RAPID_SEED ?= 20261204
RAPID_CHECKS ?= 100

.PHONY: build test demo fmt soak

build:
	go build -o bin/ ./cmd/...

test:
	@# Packages with property tests take rapid's flags; the others do not know them.
	@scripts/test.sh $(RAPID_SEED) $(RAPID_CHECKS)

demo: build
	scripts/demo.sh

# Fresh seeds of the fault soak; logs of failed ones are kept in SOAK_KEEP.
SEEDS ?= 5
SOAK_KEEP ?= /tmp/savorytiller-soak
soak:
	go test ./platform/soak -count=1 -v -timeout 60m -soak.seeds=$(SEEDS) -soak.keep=$(SOAK_KEEP)

fmt:
	gofmt -w $$(git ls-files '*.go')
