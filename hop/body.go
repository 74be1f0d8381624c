package hop

import (
	"bufio"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// _maxChunkLine bounds the line before a chunk, with its extensions.
	_maxChunkLine = 256
	// _maxTrailer bounds the trailer fields, which are dropped.
	_maxTrailer = 4 << 10
	// _freeOverhead is what may frame a chunk apart from its bytes, and
	// _maxOverhead bounds what comes beyond that and beyond twice the bytes, over
	// a whole body.
	_freeOverhead = 16
	_maxOverhead  = 16 << 10
	_maxHexDigits = 7
	// _firstRead is the memory that a body's first bytes get.
	_firstRead = 4 << 10
)

// body reads the body of a message piece by piece.
type body struct {
	br *bufio.Reader
	// left is what remains of the length or of the current chunk.
	left    int
	chunked bool
	// toEnd says that the body ends with its connection.
	toEnd bool
	done  bool
	began bool
	// overhead is how much more than is usual has framed the chunks.
	overhead int
}

func newBody(br *bufio.Reader, f framing) *body {
	return &body{
		br:      br,
		left:    max(f.length, 0),
		chunked: f.chunked,
		done:    !f.chunked && f.length <= 0,
	}
}

// next reads at least one byte into p, or returns io.EOF at the body's proper
// end. Any other error means that the body is not complete.
func (b *body) next(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	if b.toEnd {
		n, err := b.br.Read(p)
		if errors.Is(err, io.EOF) {
			b.done = true
		}

		return n, err
	}
	if b.chunked && b.left == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
		if b.done {
			return 0, io.EOF
		}
	}
	n, err := b.br.Read(p[:min(len(p), b.left)])
	b.left -= n
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if b.left == 0 && !b.chunked {
		b.done = true
	}

	return n, err
}

// nextChunk reads the line before a chunk, and the trailer after the last.
func (b *body) nextChunk() error {
	if b.began {
		if err := b.expect("\r\n"); err != nil {
			return err
		}
	}
	b.began = true
	line, err := b.line(_maxChunkLine)
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
	if digits == 0 || digits > _maxHexDigits || digits < len(line) && line[digits] != ';' {
		return eris.Wrap(ErrMalformed, "chunk size")
	}
	b.overhead = max(b.overhead+len(line)+2-_freeOverhead-2*size, 0)
	if b.overhead > _maxOverhead {
		return eris.Wrap(ErrMalformed, "chunk overhead")
	}
	if size > 0 {
		b.left = size

		return nil
	}
	for total := 0; ; {
		line, err := b.line(_maxTrailer)
		if err != nil {
			return err
		}
		if line == "" {
			b.done = true

			return nil
		}
		if total += len(line); total > _maxTrailer {
			return eris.Wrap(ErrMalformed, "trailer")
		}
	}
}

func (b *body) line(limit int) (string, error) {
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
			return eris.Wrap(ErrMalformed, "chunk end")
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

// readAll reads a whole body of at most limit bytes into memory of share, which
// may be nil. It takes memory as the body comes, whatever its length says.
func (b *body) readAll(limit int, share *Share) ([]byte, error) {
	if b.done {
		return nil, nil
	}
	if b.left > limit {
		return nil, ErrBodyTooLarge
	}
	// A byte more than may come shows that a body is over the limit.
	most := limit + 1
	if !b.chunked && !b.toEnd {
		most = b.left
	}
	var all []byte
	for {
		if len(all) == cap(all) {
			size := min(max(2*len(all), _firstRead), most)
			if err := share.take(size - cap(all)); err != nil {
				return nil, err
			}
			grown := make([]byte, len(all), size)
			copy(grown, all)
			all = grown
		}
		n, err := b.next(all[len(all):cap(all)])
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

// discard reads the rest of a body of at most limit bytes and keeps nothing.
func (b *body) discard(limit int) error {
	if b.left > limit {
		return ErrBodyTooLarge
	}
	var p [512]byte
	for total := 0; total <= limit; {
		n, err := b.next(p[:])
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
