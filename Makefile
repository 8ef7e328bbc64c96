# TOOLS holds pinned developer tools. Worktrees share the main checkout's folder.
ROOT  := $(shell cd "$$(git rev-parse --git-common-dir)/.." && pwd)
TOOLS := $(ROOT)/.tools
GO    := go

GOLANGCI := v2.15.0
PROTOC_GEN_GO := v1.36.12
PROTOC_GEN_DRPC := v1.1.0
PROTOC_GEN_VT := v0.6.0
GOPLS := v0.20.0

SEEDS ?= 20

.PHONY: build test crowd demo bench history soak fuzz lint format tools generate check-generated names check-names mixed

build:
	$(GO) build -o bin/ ./cmd/...

# test runs the tests that read the memory of processes alone, after all others.
test: build
	status=0; \
	$(GO) test -count=1 -timeout 12m $$($(GO) list ./... | grep -v /test/crowd) || status=$$?; \
	$(GO) test -count=1 -timeout 12m ./test/crowd || status=$$?; \
	exit $$status

crowd: build
	$(GO) test -v -count=1 -timeout 12m ./test/crowd

demo: build
	./bin/hibiscuslug embedded --demo

bench: build
	$(GO) run ./cmd/hibbench

history: build
	HIB_HISTORY_SEEDS=$(SEEDS) $(GO) test -v -count=1 -timeout 60m ./test/history/...

soak: build
	HIB_SOAK_SEEDS=$(SEEDS) $(GO) test -v -count=1 -timeout 60m ./test/soak/...

fuzz:
	./.ci/fuzz

lint: $(TOOLS)/golangci-lint
	$(TOOLS)/golangci-lint run --allow-parallel-runners ./...

format: $(TOOLS)/golangci-lint
	$(TOOLS)/golangci-lint fmt ./...

tools: $(TOOLS)/golangci-lint $(TOOLS)/gopls $(TOOLS)/protoc-gen-go $(TOOLS)/protoc-gen-go-drpc $(TOOLS)/protoc-gen-go-vtproto

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI)
$(TOOLS)/gopls:
	GOBIN=$(TOOLS) $(GO) install golang.org/x/tools/gopls@$(GOPLS)
$(TOOLS)/protoc-gen-go:
	GOBIN=$(TOOLS) $(GO) install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO)
$(TOOLS)/protoc-gen-go-drpc:
	GOBIN=$(TOOLS) $(GO) install storj.io/drpc/cmd/protoc-gen-go-drpc@$(PROTOC_GEN_DRPC)
$(TOOLS)/protoc-gen-go-vtproto:
	GOBIN=$(TOOLS) $(GO) install github.com/planetscale/vtprotobuf/cmd/protoc-gen-go-vtproto@$(PROTOC_GEN_VT)

MODULE := github.com/hibiscuslug/hibiscuslug

# generate needs protoc, from Debian's package protobuf-compiler.
generate: tools
	PATH="$(TOOLS):$$PATH" protoc -I schema \
		--go_out=. --go_opt=module=$(MODULE) \
		--go-vtproto_out=. --go-vtproto_opt=module=$(MODULE),features=marshal+unmarshal+size \
		--go-drpc_out=. --go-drpc_opt=module=$(MODULE),protolib=$(MODULE)/pkg/codec \
		schema/wire.proto
	$(GO) run ./schema/gen -in schema/settings.json -out internal/opts/opts.go

check-generated: generate
	git diff --exit-code -- pkg/wire internal/opts docs/SETTINGS.md

# names lists the names that leave a process; a name goes from the list only
# when nothing that is deployed or stored uses it any more.
names:
	$(GO) run ./schema/names > docs/names.txt

check-names:
	$(GO) run ./schema/names --check docs/names.txt

# mixed runs tests with some processes of an older build: make mixed OLD=DIR.
MIXED := ./test/control/... ./test/soak/... ./test/once/... ./test/path/... ./test/operate/...

mixed:
	.ci/mixed $(OLD) beside $(MIXED)
	.ci/mixed $(OLD) upgrade $(MIXED)
