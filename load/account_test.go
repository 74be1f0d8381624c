package load

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/fleet"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/wire"
)

// TestBooksShowViolations goes round the instances, so that nothing keeps a
// call from running twice and a key from a backend server.
func TestBooksShowViolations(t *testing.T) {
	service, err := standin.NewService(standin.ServiceConfig{
		Name:    "portal-1",
		Address: "127.0.0.1:0",
	})
	if err != nil {
		t.Fatal(err)
	}
	defer service.Close()
	engine, err := standin.NewEngine(standin.EngineConfig{
		Server: wire.BackendServer{
			Name:  "fast-1",
			Slots: 1,
		},
		Address: "127.0.0.1:0",
	})
	if err != nil {
		t.Fatal(err)
	}
	defer engine.Close()
	engine.Account().Forbid(Key("desk"))
	f := &fleet.Fleet{
		Engines:  map[string]*standin.Engine{"fast-1": engine},
		Services: map[string]*standin.Service{"portal-1": service},
	}
	for _, address := range []string{service.Address, service.Address, engine.Address()} {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Idempotency-Key", "call-1")
		req.Header.Set("Authorization", "Bearer "+Key("desk"))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	got := readBooks(f)
	want := []int{1, 2, 3}
	if diff := cmp.Diff(want, []int{got.runsAboveOne, got.calls, got.leaks}); diff != "" {
		t.Errorf("runs above one, calls and leaks (-want +got):\n%s", diff)
	}
}

func TestReadLog(t *testing.T) {
	file := filepath.Join(t.TempDir(), "events.log")
	lines := `{"Number":1100,"Outcome":"Done"}
{"Number":1100,"Outcome":"Unknown"}
{"Number":1100,"Outcome":"Done","Service":"portal"}
{"Number":1100,"Outcome":"Done","Service":"portal","Saved":true}
{"Number":2000,"Workspace":"desk"}
{"Number":5000,"Action":"Load"}
{"Number":5000,"Action":"Drop"}
`
	if err := os.WriteFile(file, []byte(lines), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := readLog(file)
	if err != nil {
		t.Fatal(err)
	}
	want := []int{1, 1, 1, 1}
	if diff := cmp.Diff(want, []int{got.completions, got.calls, got.quotaRefused, got.loads}); diff != "" {
		t.Errorf("completions, calls, refusals and loads (-want +got):\n%s", diff)
	}
}
