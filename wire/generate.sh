# Generates one Go file for each JSON Schema.
set -eu
for f in ../schema/*.json; do
	name=$(basename "$f" .json)
	go tool -modfile=../tools/schema/go.mod go-jsonschema --only-models --tags json --disable-omitempty --disable-omitzero --capitalization ID,TTL,IP,URL,KV -p wire "$f" |
		sed 's/^import "encoding\/json"$//' > "$name.gen.go"
done
# Bulletins are sent several times a second, in a compact encoding. The limit
# bounds what a malformed one can make its reader allocate.
{
	cat bulletin.gen.go
	echo '//msgp:limit arrays:65536'
} >bulletin.tmp && mv bulletin.tmp bulletin.gen.go
go tool -modfile=../tools/schema/go.mod msgp -io=false -tests=false -file bulletin.gen.go -o bulletin.msgp.gen.go >/dev/null
chmod 644 ./*.gen.go
gofmt -w ./*.gen.go
