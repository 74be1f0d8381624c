# Generates one Go file for each JSON Schema.
set -eu
for f in ../schema/*.json; do
	name=$(basename "$f" .json)
	go tool -modfile=../tools/schema/go.mod go-jsonschema --only-models --tags json --disable-omitempty --disable-omitzero --capitalization ID,TTL,IP,URL,KV -p wire "$f" |
		sed 's/^import "encoding\/json"$//' > "$name.gen.go"
done
gofmt -w ./*.gen.go
