package connection

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestPoolPatience guards against sending each read to a slow server twice: a call waits
// longer after a slow answer, and no longer than configured after a quick one.
func TestPoolPatience(t *testing.T) {
	const patience = 250 * time.Millisecond
	tests := []struct {
		name    string
		latency time.Duration
		want    time.Duration
	}{
		{
			name: "none yet",
			want: patience,
		},
		{
			name:    "quick",
			latency: 4 * time.Millisecond,
			want:    patience,
		},
		{
			name:    "slow",
			latency: 400 * time.Millisecond,
			want:    800 * time.Millisecond,
		},
		{
			name:    "sooner than the server held it",
			latency: -time.Second,
			want:    patience,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPool(PoolConfig{
				Address:      "127.0.0.1:1",
				MaxBodyBytes: 1,
			})
			p.observe(tt.latency)
			if diff := cmp.Diff(tt.want, p.patience(Call{Patience: patience})); diff != "" {
				t.Errorf("patience (-want +got):\n%s", diff)
			}
		})
	}
}
