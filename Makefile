# Targets for people and CI. Every tool comes from tools/go.mod.

DEPLOYMENT ?= agencia
TOOL = go tool -modfile=tools/go.mod

.PHONY: build test lint generate demo

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

test:
	scripts/test.sh

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	go vet ./...
	$(TOOL) staticcheck -checks all $$(go list ./... | grep -v /gen/)

generate:
	$(TOOL) buf generate --template buf.gen.yaml
	$(TOOL) buf generate --template buf.gen.peer.yaml
	$(TOOL) buf generate --template buf.gen.datagram.yaml
	$(TOOL) buf generate --template buf.gen.node.yaml

demo: build
	scripts/demo.sh $(DEPLOYMENT)
