# Builds, tests and runs egretreach. `make help` lists the targets.
SHELL := /bin/bash
TOOLS := $(CURDIR)/.tools
GOLANGCI_LINT_VERSION := v2.15.0
GOFUMPT_VERSION := v0.12.0
GOPLS_VERSION := v0.23.0
# Under the race detector, tests in a synctest bubble get one processor: the timers of a bubble share one state of the
# detector, which crashes it if two processors run them at once. One processor reports the same races.
BUBBLE_PACKAGES = $$(go list -f '{{range .TestImports}}{{if eq . "testing/synctest"}}{{$$.ImportPath}}{{end}}{{end}}' ./... | grep -vE '($(FLEET_PACKAGE)|$(STANDIN_PACKAGE))$$')
BUBBLE_TIMEOUT := 40m
# The other packages, which run on all processors.
PARALLEL_PACKAGES = $$(go list -f '{{$$p := .ImportPath}}{{range .TestImports}}{{if eq . "testing/synctest"}}{{$$p = ""}}{{end}}{{end}}{{$$p}}' ./...)
# The tests of whole fleets, which take minutes on one processor, so that each process runs a part of them.
FLEET_PACKAGE := /internal/standin/fleet
STANDIN_PACKAGE := /platform/standin
# The first seed of `make soak`. For new seeds: make soak SOAK_FROM=$(date +%s)
SOAK_FROM ?= 1
# One -run pattern for each process that runs a part of FLEET_PACKAGE, the longest first. Of STANDIN_PACKAGE each process runs one test.
FLEET_RACE_TESTS := 'Outcomes' 'PlannedStopBesideSilence//delay=0s' 'PlannedStopBesideSilence//delay=60ms' 'SilenceOfASecond/(agent|entry)' \
	'Request|Stream|Gone' 'Signoff|Quorum|Resend' 'Loss|Lost|Stopping|Stops|StopTogether' 'Rollout|Drained|Crashing' \
	'RandomFaults/seed=[01]$$' 'CrashesEngines' 'AddedService'
# How many of these processes run at once.
FLEET_RACE_PROCESSES := 7
TEST_NAMES := '^(Test|Fuzz|Example)'

.DEFAULT_GOAL := help

.PHONY: help
help: ## List the targets.
	@grep -hE '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/' | sort | expand -t 16

.PHONY: build
build: ## Build the binary as bin/egretreach.
	CGO_ENABLED=1 go build -o bin/egretreach .

.PHONY: test
test: ## Run all tests; failures listed in KNOWN-RED.txt are printed and ignored.
	go test -json ./... | go run ./internal/check/redlist

.PHONY: race
race: ## Run the tests under the race detector.
	go test -timeout $(BUBBLE_TIMEOUT) -json -race $(PARALLEL_PACKAGES) | go run ./internal/check/redlist
	go test -timeout $(BUBBLE_TIMEOUT) -json -race -cpu 1 $(BUBBLE_PACKAGES) | go run ./internal/check/redlist
	$(MAKE) --no-print-directory race-complete race-fleets

# Runs the tests of whole fleets under the race detector, several processes at once.
.PHONY: race-fleets
race-fleets:
	{ printf 'PACKAGE=$(FLEET_PACKAGE) TESTS=%s\n' $(FLEET_RACE_TESTS); \
		go test -race -list $(TEST_NAMES) .$(STANDIN_PACKAGE) | grep -E $(TEST_NAMES) | sed 's,.*,PACKAGE=$(STANDIN_PACKAGE) TESTS=^&$$,'; } | \
		xargs -P $(FLEET_RACE_PROCESSES) -L 1 $(MAKE) --no-print-directory race-part

# Fails if there is a test in FLEET_PACKAGE that none of FLEET_RACE_TESTS names.
.PHONY: race-complete
race-complete:
	@missing=$$(go test -list $(TEST_NAMES) .$(FLEET_PACKAGE) | grep -E $(TEST_NAMES) | \
		grep -vE "$$(printf '%s\n' $(FLEET_RACE_TESTS) | sed 's,/.*,,' | paste -sd '|')"); \
		test -z "$$missing" || { echo "no process runs $$missing"; exit 1; }

# Runs the tests of PACKAGE that TESTS names under the race detector.
.PHONY: race-part
race-part:
	@go test -timeout $(BUBBLE_TIMEOUT) -json -race -cpu 1 -run '$(TESTS)' .$(PACKAGE) | go run ./internal/check/redlist

.PHONY: callers
callers: ## Run the tests of processes under hostile callers, one at a time. They have a build tag, which keeps them out of test and race.
	go test -tags callers -count 1 -p 1 -parallel 1 -json ./internal/check/callers | go run ./internal/check/redlist

.PHONY: soak
soak: build ## Run the daemons under random faults with 50 seeds and all that have failed before.
	go run ./internal/check/soak --kept internal/check/soak/testdata/seeds.txt --from $(SOAK_FROM) --seeds 50 --at-once 5

.PHONY: soak-short
soak-short: build ## Run soak for a shorter time per seed, with 2 seeds and all that have failed before.
	go run ./internal/check/soak --kept internal/check/soak/testdata/seeds.txt --seeds 2 --at-once 2 --faults 8s

.PHONY: fuzz
fuzz: ## Run each fuzz target on its seed corpus.
	go test -run '^Fuzz' ./...

.PHONY: tools
tools: $(TOOLS)/golangci-lint-$(GOLANGCI_LINT_VERSION) $(TOOLS)/gofumpt-$(GOFUMPT_VERSION) ## Install the formatter and the linter.

$(TOOLS)/golangci-lint-$(GOLANGCI_LINT_VERSION):
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
	mv $(TOOLS)/golangci-lint $@

$(TOOLS)/gofumpt-$(GOFUMPT_VERSION):
	GOBIN=$(TOOLS) go install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)
	mv $(TOOLS)/gofumpt $@

.PHONY: gopls
gopls: $(TOOLS)/gopls-$(GOPLS_VERSION) ## Install gopls, for renames in the whole module.

$(TOOLS)/gopls-$(GOPLS_VERSION):
	GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(TOOLS)/gopls $@

.PHONY: fmt
fmt: tools ## Format the code.
	$(TOOLS)/gofumpt-$(GOFUMPT_VERSION) -w .

.PHONY: fmt-check
fmt-check: tools ## Fail if a file is not formatted.
	@out=$$($(TOOLS)/gofumpt-$(GOFUMPT_VERSION) -l .); test -z "$$out" || { echo "not formatted:"; echo "$$out"; exit 1; }

.PHONY: lint
lint: tools ## Run go vet and the linter.
	go vet ./...
	go vet -tags callers ./internal/check/callers
	$(TOOLS)/golangci-lint-$(GOLANGCI_LINT_VERSION) run --allow-parallel-runners ./...

.PHONY: local-up
local-up: build ## Start the fleet in examples/local as separate processes.
	examples/local/fleet.sh up

.PHONY: local-down
local-down: ## Stop the fleet in examples/local.
	examples/local/fleet.sh down

.PHONY: measure-entry
measure-entry: build ## Measure the CPU time of idle daemons, requests and tokens.
	examples/local/measure-entry.sh

.PHONY: dev
dev: build ## Run a whole fleet with stand-in engines in one process.
	bin/egretreach dev

.PHONY: clean
clean: ## Remove the built binary.
	rm -rf bin
