# Targets: build, test, lint, demo, soak, bench, measure, capacity, scale, mutants.
GO ?= go
TOOL = $(GO) tool -modfile=_tools/go.mod

.PHONY: build test lint demo soak bench measure capacity scale mutants

build:
	$(GO) build -o bin/ ./cmd/...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "gofmt: the files above are not formatted"; exit 1; }
	$(GO) vet ./...
	$(TOOL) staticcheck ./...

test: lint
	bash _scripts/test.sh

demo: build
	bash _scripts/demo.sh

soak:
	EBONYRILL_SOAK_SEEDS=$${SEEDS:-2000} $(GO) test -count=1 -timeout 20m -run 'Soak' -v ./internal/...
	EBONYRILL_PROCESS_SOAKS=$${PROCESS_SEEDS:-10} EBONYRILL_PROCESS_STOP_SLACK_MS=0 EBONYRILL_PROCESS_CATCH_UP_MS=4000 $(GO) test -count=1 -timeout 60m -run 'ProcessSoak|PlannedWorkSoak|AcknowledgedSoak' -v ./platform/

bench:
	$(GO) test -run '^$$' -bench . -benchmem -benchtime 1s ./internal/...
	$(GO) run ./cmd/ebonyrill-measure forward

measure:
	{ cat docs/measurements/INTRO.md; $(GO) run ./cmd/ebonyrill-measure policies; } > docs/MEASUREMENTS.md
	{ printf '\n## Forwarding\n\n'; $(GO) run ./cmd/ebonyrill-measure forward; } >> docs/MEASUREMENTS.md
	{ printf '\n## Slopes for capacity\n\n'; $(GO) run ./cmd/ebonyrill-measure capacity; } >> docs/MEASUREMENTS.md

capacity:
	$(GO) run ./cmd/ebonyrill-measure capacity

scale: build
	cat docs/measurements/SCALE-INTRO.md > docs/measurements/SCALE.md
	ENTRIES=50 UPSTREAMS=150 bash _scripts/scale.sh >> docs/measurements/SCALE.md
	ENTRIES=100 UPSTREAMS=300 bash _scripts/scale.sh >> docs/measurements/SCALE.md
	ENTRIES=200 UPSTREAMS=600 bash _scripts/scale.sh >> docs/measurements/SCALE.md

mutants:
	bash _scripts/mutants.sh
