# Seed of all property tests: CI gives the same verdict every time.
RAPID_SEED ?= 20261204
RAPID_CHECKS ?= 100

.PHONY: build test demo fmt

build:
	go build -o bin/ ./cmd/...

test:
	@# Packages with property tests take rapid's flags; the others do not know them.
	@scripts/test.sh $(RAPID_SEED) $(RAPID_CHECKS)

demo: build
	scripts/demo.sh

fmt:
	gofmt -w $$(git ls-files '*.go')
