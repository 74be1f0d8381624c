package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/settings"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/wire"
	"papayastair.dev/papayastair/workspace"
)

const (
	_key   = "secret-key-of-desk"
	_tries = 500
)

func TestThinPath(t *testing.T) {
	store, err := standin.NewPlatform(standin.PlatformConfig{Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	server := wire.BackendServer{
		Name:          "engine-1",
		Kind:          wire.BackendServerKindEngine,
		FailureDomain: "a",
		Slots:         4,
		Accelerators: []wire.Accelerator{{
			Name:        "0",
			MemoryBytes: 10,
		}},
	}
	model, err := standin.NewEngine(standin.EngineConfig{
		Server:  server,
		Address: "127.0.0.1:0",
	})
	if err != nil {
		t.Fatal(err)
	}
	server.Address = model.Address()
	defer model.Close()
	model.Account().Forbid(_key)
	subtree := wire.Subtree{
		Path: "/kandy",
		Workspaces: []wire.Workspace{{
			Name:                "desk",
			RateTokensPerSecond: 1000,
			BurstTokens:         1000,
			Models:              []string{"badge"},
		}},
		Keys: []wire.Key{{
			Name:      "desk-1",
			Workspace: "desk",
			Hash:      workspace.HashKey([]byte(_key)),
		}},
		Models: []wire.Model{{
			Name:        "badge",
			MemoryBytes: 1,
		}},
		BackendServers: []wire.BackendServer{server},
	}
	model.Accelerators().Apply(wire.Order{
		ID:          "1",
		Action:      wire.OrderActionLoad,
		Model:       "badge",
		Version:     "1",
		Accelerator: "0",
		MemoryBytes: 1,
	}, time.Now().Add(-time.Hour))
	ctx := context.Background()
	if _, err := store.Store.Platform().Put(ctx, "Subtree", "kandy", settings.Encode(subtree), 0); err != nil {
		t.Fatal(err)
	}
	in, err := New(wire.ProcessSettings{
		Name:            "i1",
		FailureDomain:   "a",
		CallerAddress:   "127.0.0.1:0",
		PlatformAddress: store.Address,
		BodyLimitBytes:  1 << 20,
		MaxStreams:      16,
		LogLevel:        "error",
	})
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	var got string
	for try := 0; got == "" && try < _tries; try++ {
		got = ask(t, in.CallerAddress())
		time.Sleep(10 * time.Millisecond)
	}
	if diff := cmp.Diff(standin.Text("badge", "hello", 5), got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	if leaks := model.Account().Figures().Leaks; leaks != 0 {
		t.Errorf("%d requests at the engine held the caller's key", leaks)
	}
}

// ask returns the text of a streamed answer, or nothing on a refusal.
func ask(t *testing.T, address string) string {
	t.Helper()
	body := `{"model":"badge","prompt":"hello","max_tokens":5,"stream":true}`
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+_key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		return ""
	}
	var text strings.Builder
	for line := range bytes.Lines(raw) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok || string(data) == "[DONE]" {
			continue
		}
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal(data, &chunk); err != nil {
			t.Fatal(err)
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Text)
		}
	}

	return text.String()
}
