# Targets for people and CI. Every tool comes from tools/go.mod.

DEPLOYMENT ?= agencia
TOOL = go tool -modfile=tools/go.mod

SEED ?= 1-10

.PHONY: build test lint generate demo demo-platform soak

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

demo-platform:
	go test -count=1 -v -run 'TestCalmRun' ./platform/soak

soak:
	go test -count=1 -v -timeout 6h -run 'TestLongSoak' ./platform/soak -soak-seeds $(SEED)
