package settings

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/wire"
)

const _hash = "00000000000000000000000000000000000000000000000000000000000000aa"

const _root = `{
  "Path": "/",
  "Defaults": {"RateTokensPerSecond": 100, "Weight": 2},
  "Models": [{"Name": "small", "MemoryBytes": 10}],
  "BackendServers": [
    {"Name": "e1", "Kind": "Engine", "Address": "127.0.0.1:1", "FailureDomain": "a", "Accelerators": [{"Name": "0", "MemoryBytes": 100}]},
    {"Name": "s1", "Kind": "Service", "Address": "127.0.0.1:2", "FailureDomain": "a", "Service": "print"}
  ]
}`

const _team = `{
  "Path": "/kandy/prints",
  "Workspaces": [{"Name": "desk", "Priority": "Urgent", "Models": ["small", "wording"]}],
  "Keys": [{"Name": "k", "Workspace": "desk", "Hash": "` + _hash + `"}],
  "Adapters": [{"Name": "wording", "Model": "small", "MemoryBytes": 1}],
  "Routes": [{"Path": "/services/print", "Service": "print", "NonIdempotent": true}]
}`

const _parent = `{"Path": "/kandy", "Defaults": {"BurstTokens": 700, "RateTokensPerSecond": 50}}`

func decodeAll(t *testing.T, contents ...string) []wire.Subtree {
	t.Helper()
	subtrees := make([]wire.Subtree, 0, len(contents))
	for _, content := range contents {
		subtree, err := DecodeSubtree("file.json", []byte(content))
		if err != nil {
			t.Fatal(err)
		}
		subtrees = append(subtrees, subtree)
	}

	return subtrees
}

func TestResolveInheritsNearestFirst(t *testing.T) {
	snapshot, problems := Resolve(decodeAll(t, _team, _root, _parent))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	want := wire.Workspace{
		Name:                "desk",
		RateTokensPerSecond: 50,
		BurstTokens:         700,
		Priority:            wire.PriorityUrgent,
		Weight:              2,
		Models:              []string{"small", "wording"},
	}
	if diff := cmp.Diff(want, snapshot.Workspaces["desk"]); diff != "" {
		t.Errorf("workspace (-want +got):\n%s", diff)
	}
	for _, subtree := range decodeAll(t, _team, _root, _parent) {
		again, err := DecodeSubtree("again", []byte(Encode(subtree)))
		if diff := cmp.Diff(subtree, again); diff != "" || err != nil {
			t.Errorf("%v: encoded and decoded (-want +got):\n%s", err, diff)
		}
	}
	wantRoute := wire.Route{
		Path:                "/services/print",
		Service:             "print",
		TargetPath:          "/",
		NonIdempotent:       true,
		CostTokens:          1,
		TimeoutMilliseconds: 10000,
	}
	if diff := cmp.Diff(wantRoute, snapshot.Routes["/services/print"]); diff != "" {
		t.Errorf("route with defaults (-want +got):\n%s", diff)
	}
}

func TestDecodeSubtreeReportsAllProblems(t *testing.T) {
	tests := []struct {
		name    string
		content string
		want    []string
	}{
		{
			name:    "syntax",
			content: "{\n\"Path\": }",
			want:    []string{"f: /: not JSON: invalid character '}' looking for beginning of value (line 2)"},
		},
		{
			name:    "unknown field, wrong type, impossible value",
			content: `{"Path": "kandy", "Colour": 1, "Workspaces": [{"Name": 3, "Weight": -1}], "BackendServers": [{"Name": "e", "Kind": "Engine", "Address": "localhost:1", "FailureDomain": "a"}]}`,
			want: []string{
				"f: /: additional properties 'Colour' not allowed",
				"f: /BackendServers/0/Address: 'localhost:1' is not valid ip-port: not an IP:port",
				"f: /Path: 'kandy' does not match pattern '^(/|(/[a-z0-9][a-z0-9-]*)+)$'",
				"f: /Workspaces/0/Name: got number, want string",
				"f: /Workspaces/0/Weight: minimum: got -1, want 0",
			},
		},
		{
			name:    "more than 64 bits",
			content: `{"Path": "/", "Models": [{"Name": "m", "MemoryBytes": 1e30}]}`,
			want:    []string{"f: /Models/MemoryBytes: number 1e30 is not a whole number of at most 64 bits"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := DecodeSubtree("f", []byte(tt.content))
			var problems Problems
			if !errors.As(err, &problems) {
				t.Fatalf("error is %v", err)
			}
			if diff := cmp.Diff(tt.want, lines(problems)); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
		})
	}
}

func TestDecodeProcess(t *testing.T) {
	content := `{"Name": "i1", "Region": "r", "FailureDomain": "a", "CallerAddress": "127.0.0.1:1", "PeerAddress": "127.0.0.1:1", "OperatorAddress": "127.0.0.1:3", "PlatformAddress": "127.0.0.1:0"}`
	_, err := DecodeProcess("f", []byte(content))
	want := "f: /PlatformAddress: '127.0.0.1:0' is not valid ip-port: port 0 can't be connected to"
	if diff := cmp.Diff(want, err.Error()); diff != "" {
		t.Errorf("schema (-want +got):\n%s", diff)
	}
	_, err = DecodeProcess("f", []byte(strings.Replace(content, "127.0.0.1:0", "127.0.0.1:9", 1)))
	if diff := cmp.Diff("f: /PeerAddress: the same address as CallerAddress", err.Error()); diff != "" {
		t.Errorf("addresses (-want +got):\n%s", diff)
	}
	got, err := DecodeProcess("f", []byte(strings.Replace(strings.Replace(content, "127.0.0.1:0", "127.0.0.1:9", 1), "127.0.0.1:1", "127.0.0.1:2", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]int{1, 1048576, 4096, 10}, []int{got.Size, got.BodyLimitBytes, got.MaxStreams, got.LocateTTLSeconds}); diff != "" {
		t.Errorf("defaults (-want +got):\n%s", diff)
	}
}

func TestResolveReportsAllProblems(t *testing.T) {
	tests := []struct {
		name  string
		other string
		want  []string
	}{
		{
			name:  "declared twice",
			other: `{"Path": "/brazos", "Workspaces": [{"Name": "desk"}], "Keys": [{"Name": "k", "Workspace": "desk", "Hash": "` + _hash + `"}], "Adapters": [{"Name": "small", "Model": "small", "MemoryBytes": 1}]}`,
			want: []string{
				`/kandy/prints: /Workspaces/0/Name: workspace "desk" is already declared in /brazos`,
				`/kandy/prints: /Keys/0/Name: key "k" is already declared in /brazos`,
				`/kandy/prints: /Keys/0/Hash: key hash "` + _hash + `" is already declared in /brazos`,
				`/kandy/prints: /Keys/0/Workspace: workspace "desk" belongs to /brazos, which is not above /kandy/prints`,
				`/brazos: /Adapters/0/Name: model or adapter "small" is already declared in /`,
			},
		},
		{
			name:  "references",
			other: `{"Path": "/brazos", "Workspaces": [{"Name": "permits", "Models": ["wording", "none"]}], "Keys": [{"Name": "b", "Workspace": "desk", "Hash": "` + strings.Replace(_hash, "aa", "bb", 1) + `"}], "Routes": [{"Path": "/services/file", "Service": "file", "Open": true, "NonIdempotent": true, "Workspaces": ["permits"]}], "Placements": [{"Model": "wording", "BackendServers": ["s1"]}]}`,
			want: []string{
				`/brazos: /Workspaces/0/Models/0: model or adapter "wording" belongs to /kandy/prints, which is not above /brazos`,
				`/brazos: /Workspaces/0/Models/1: there is no model or adapter "none"`,
				`/brazos: /Keys/0/Workspace: workspace "desk" belongs to /kandy/prints, which is not above /brazos`,
				`/brazos: /Placements/0/Model: model or adapter "wording" belongs to /kandy/prints, which is not above /brazos`,
				`/brazos: /Placements/0/BackendServers/0: backend server "s1" is no engine`,
				`/brazos: /Routes/0/Workspaces: an open route can't be kept to workspaces`,
				`/brazos: /Routes/0/NonIdempotent: an open route must be idempotent`,
				`/brazos: /Routes/0/Service: no backend server of service "file" is declared here or above`,
			},
		},
		{
			name:  "capacity",
			other: `{"Path": "/brazos", "Models": [{"Name": "big", "MemoryBytes": 99}, {"Name": "huge", "MemoryBytes": 101}], "Adapters": [{"Name": "b", "Model": "big", "MemoryBytes": 2}]}`,
			want: []string{
				`/brazos: /Models/1/MemoryBytes: 101 bytes fit on 0 of the accelerators allowed, and MinCopies is 1`,
				`/brazos: /Adapters/0/MemoryBytes: with its model it needs 101 bytes, which fit on no accelerator allowed`,
				`/: /: the least number of copies of all models needs 210 bytes, and all accelerators have 100`,
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, problems := Resolve(decodeAll(t, _root, _parent, _team, tt.other))
			got := map[string]bool{}
			for _, line := range lines(problems) {
				got[line] = true
			}
			want := map[string]bool{}
			for _, line := range tt.want {
				want[line] = true
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
		})
	}
}

func lines(problems Problems) []string {
	all := make([]string, 0, len(problems))
	for _, problem := range problems {
		all = append(all, problem.String())
	}

	return all
}
