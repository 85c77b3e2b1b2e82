# The targets that README.md names.

.PHONY: build demo lint test

build:
	go build -o bin/ . ./internal/cmds/...

demo: build
	bin/demo

lint:
	@test -z "$$(go tool gofumpt -l .)" || { go tool gofumpt -l .; echo "run gofumpt" >&2; exit 1; }
	go tool revive -config revive.toml ./...
	go vet ./...

test: lint
	go test ./...
