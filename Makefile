# make demo runs the whole path once; make test runs every test; make bench
# prints the measured figures beside their targets and baselines.

GO ?= go

.PHONY: build demo test lint bench

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	./bin/laureltally demo

test:
	$(GO) test ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

bench:
	$(GO) run ./bench

.PHONY: faults
faults: build
	$(GO) run ./faults $(FAULTS)

.PHONY: capacity
capacity:
	$(GO) run ./capacity
