# Builds, tests and runs egretreach. `make help` lists the targets.
SHELL := /bin/bash
TOOLS := $(CURDIR)/.tools
GOLANGCI_LINT_VERSION := v2.15.0
GOFUMPT_VERSION := v0.12.0
GOPLS_VERSION := v0.23.0
# The tests of a whole fleet run under the race detector in several processes, since its runtime cannot
# hold the events of all of them in one.
FLEET_PACKAGE := ./internal/standin/fleet
# The first seed of `make soak`. For new seeds: make soak SOAK_FROM=$(date +%s)
SOAK_FROM ?= 1
# One -run pattern for each of these processes.
FLEET_RACE_TESTS := 'Request|Stream|Gone' 'Signoff|Quorum|Resend' 'Loss|Lost|Stop' 'Rollout|Drained|Crashing' 'RandomFaults/seed=[01]$$' 'SilenceOfASecond/(agent|entry)'

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
	go test -json -race $$(go list ./... | grep -v /internal/standin/fleet) | go run ./internal/check/redlist
	for tests in $(FLEET_RACE_TESTS); do \
		go test -json -race -run "$$tests" $(FLEET_PACKAGE) | go run ./internal/check/redlist || exit 1; \
	done

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
