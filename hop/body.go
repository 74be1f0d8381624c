package hop

import (
	"bufio"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// _maxChunkLineBytes limits the line before a chunk, including its
	// extensions.
	_maxChunkLineBytes = 256
	// _maxTrailerBytes limits the trailer fields, which are discarded.
	_maxTrailerBytes = 4 << 10
	// _chunkOverheadAllowance is the number of framing bytes that each chunk may
	// have in addition to twice its size. _maxOverheadBytes limits the framing
	// bytes beyond that, accumulated over a whole body.
	_chunkOverheadAllowance = 16
	_maxOverheadBytes       = 16 << 10
	_maxChunkSizeDigits     = 7
	// _initialBodyBytes is the initial size of the buffer for a body.
	_initialBodyBytes = 4 << 10
)

// body reads the body of a message.
type body struct {
	br *bufio.Reader
	// remaining is the number of unread bytes of the body, or of the current
	// chunk.
	remaining int
	chunked   bool
	// untilClose is set if the body extends to the end of the connection.
	untilClose bool
	done       bool
	started    bool
	// overhead is the accumulated number of framing bytes beyond the allowance.
	overhead int
}

func newBody(br *bufio.Reader, f framing) *body {
	return &body{
		br:        br,
		remaining: max(f.length, 0),
		chunked:   f.chunked,
		done:      !f.chunked && f.length <= 0,
	}
}

// read reads at least one byte into p, or returns io.EOF at the end of a
// complete body. Any other error means that the body is incomplete.
func (b *body) read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	if b.untilClose {
		n, err := b.br.Read(p)
		if errors.Is(err, io.EOF) {
			b.done = true
		}

		return n, err
	}
	if b.chunked && b.remaining == 0 {
		if err := b.readChunkHeader(); err != nil {
			return 0, err
		}
		if b.done {
			return 0, io.EOF
		}
	}
	n, err := b.br.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if b.remaining == 0 && !b.chunked {
		b.done = true
	}

	return n, err
}

// readChunkHeader reads the line before a chunk. After the last chunk it also
// reads the trailer.
func (b *body) readChunkHeader() error {
	if b.started {
		if err := b.expect("\r\n"); err != nil {
			return err
		}
	}
	b.started = true
	line, err := b.readLine(_maxChunkLineBytes)
	if err != nil {
		return err
	}
	size, digits := 0, 0
	for ; digits < len(line); digits++ {
		v := hexValue(line[digits])
		if v < 0 {
			break
		}
		size = size<<4 | v
	}
	if digits == 0 || digits > _maxChunkSizeDigits || digits < len(line) && line[digits] != ';' {
		return eris.Wrap(ErrMalformed, "invalid chunk size")
	}
	b.overhead = max(b.overhead+len(line)+2-_chunkOverheadAllowance-2*size, 0)
	if b.overhead > _maxOverheadBytes {
		return eris.Wrap(ErrMalformed, "too much chunk framing overhead")
	}
	if size > 0 {
		b.remaining = size

		return nil
	}
	for total := 0; ; {
		line, err := b.readLine(_maxTrailerBytes)
		if err != nil {
			return err
		}
		if line == "" {
			b.done = true

			return nil
		}
		if total += len(line); total > _maxTrailerBytes {
			return eris.Wrap(ErrMalformed, "trailer")
		}
	}
}

func (b *body) readLine(limit int) (string, error) {
	text, err := b.br.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			return "", eris.Wrap(ErrMalformed, "line too long")
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}

		return "", err
	}
	if len(text) > limit {
		return "", eris.Wrap(ErrMalformed, "line too long")
	}
	line, _, err := cutLine(string(text))

	return line, err
}

func (b *body) expect(text string) error {
	for i := range len(text) {
		c, err := b.br.ReadByte()
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if c != text[i] {
			return eris.Wrap(ErrMalformed, "missing CRLF after chunk")
		}
	}

	return nil
}

func hexValue(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c|0x20 >= 'a' && c|0x20 <= 'f':
		return int(c|0x20-'a') + 10
	default:
		return -1
	}
}

// readAll reads a whole body of at most limit bytes and reserves memory for it
// from share, which may be nil. The buffer grows with the bytes received,
// regardless of the declared length.
func (b *body) readAll(limit int, share *Reservation) ([]byte, error) {
	if b.done {
		return nil, nil
	}
	if b.remaining > limit {
		return nil, ErrBodyTooLarge
	}
	// One byte more than the limit detects a body that exceeds it.
	maxSize := limit + 1
	if !b.chunked && !b.untilClose {
		maxSize = b.remaining
	}
	var all []byte
	for {
		if len(all) == cap(all) {
			size := min(max(2*len(all), _initialBodyBytes), maxSize)
			if err := share.reserve(size - cap(all)); err != nil {
				return nil, err
			}
			grown := make([]byte, len(all), size)
			copy(grown, all)
			all = grown
		}
		n, err := b.read(all[len(all):cap(all)])
		all = all[:len(all)+n]
		if len(all) > limit {
			return nil, ErrBodyTooLarge
		}
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, err
		}
		if b.done {
			return all, nil
		}
	}
}

// readDeclared is readAll, but the whole memory of a large body of known length is reserved
// and allocated before its first byte is read, so that it is not refused halfway.
func (b *body) readDeclared(limit int, share *Reservation) ([]byte, error) {
	if b.chunked || b.remaining <= _unchargedBytes {
		return b.readAll(limit, share)
	}
	if b.remaining > limit {
		return nil, ErrBodyTooLarge
	}
	if err := share.reserve(b.remaining); err != nil {
		return nil, err
	}
	all := make([]byte, b.remaining)
	for n := 0; !b.done; {
		read, err := b.read(all[n:])
		if err != nil {
			return nil, err
		}
		n += read
	}

	return all, nil
}

// discard reads and discards the rest of a body of at most limit bytes.
func (b *body) discard(limit int) error {
	if b.remaining > limit {
		return ErrBodyTooLarge
	}
	var p [512]byte
	for total := 0; total <= limit; {
		n, err := b.read(p[:])
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		total += n
	}

	return ErrBodyTooLarge
}
