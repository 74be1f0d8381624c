package harness

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the account of a run. Its times are in milliseconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

// newRecord creates record.txt in a folder.
func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}

	return &record{
		file:  f,
		out:   bufio.NewWriter(f),
		began: time.Now(),
	}, nil
}

// since returns the time since the start.
func (r *record) since() time.Duration {
	return time.Since(r.began)
}

// note writes a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.1f ms  %s\n", float64(r.since().Microseconds())/1000, fmt.Sprintf(format, args...))
}

// close writes what is left.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
