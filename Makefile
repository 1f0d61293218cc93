# make demo runs the whole path once; make test runs every test; make spec runs
# the model checker; make bench measures the decisions and the path; make faults
# runs the programs under failures; make capacity measures slopes; make soak runs
# the hosted programs under random faults.

GO ?= go

.PHONY: build demo test lint bench spec faults capacity soak

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	./bin/laureltally demo

# TEST_SKIP names tests to pass over, as go test -skip takes them.
# The tests of crowds run apart from the others, one at a time: they measure memory.
test:
	$(GO) test $(TESTFLAGS) $${TEST_SKIP:+-skip "$$TEST_SKIP"} $$($(GO) list ./... | grep -v /e2e/crowd)
	$(GO) test $(TESTFLAGS) $${TEST_SKIP:+-skip "$$TEST_SKIP"} ./e2e/crowd

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

bench: build
	$(GO) run ./bench

spec:
	spec/run

faults: build
	$(GO) run ./faults $(FAULTS)

capacity:
	$(GO) run ./capacity

# SOAK_SEEDS is a seed or a range (1-50), SOAK_SECONDS the time for each and
# SOAK_LANES how many run side by side.
soak:
	$(GO) test -count=1 -timeout 0 -run TestSoak -v ./e2e/soak
