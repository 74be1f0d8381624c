package standin

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}

	return &record{
		file:  file,
		out:   bufio.NewWriter(file),
		began: time.Now(),
	}, nil
}

func (r *record) write(format string, args ...any) {
	r.writeAt(time.Now(), format, args...)
}

// writeAt writes a line about a moment.
func (r *record) writeAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that can't be written doesn't change what the case finds.
	_, _ = fmt.Fprintf(r.out, "%9.3f  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.write(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
