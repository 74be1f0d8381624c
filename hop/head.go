package hop

import (
	"bufio"
	"errors"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Field is one header field, its name spelled as it came.
type Field struct {
	Name  string
	Value string
}

// Head is the head of a request or a response.
type Head struct {
	// Method and Target are a request's; Target is never decoded.
	Method string
	Target string
	// Status and Reason are a response's.
	Status int
	Reason string
	// Fields are the header fields in their order.
	Fields []Field
}

// Errors of heads and bodies. Their caller answers with StatusOf.
var (
	// ErrMalformed means that the bytes are not HTTP/1.1 as it must be.
	ErrMalformed = errors.New("malformed message")
	// ErrHeadTooLarge means that the head is over the limit.
	ErrHeadTooLarge = errors.New("head over the limit")
	// ErrBodyTooLarge means that the body is over the limit.
	ErrBodyTooLarge = errors.New("body over the limit")
	// ErrVersion means that the version is not HTTP/1.1.
	ErrVersion = errors.New("version is not HTTP/1.1")
)

const (
	_version = "HTTP/1.1"
	// _maxLengthDigits keeps a length within an int.
	_maxLengthDigits = 15
)

// Get is the value of the first field of a name, and how many there are.
// Names are compared without regard to case.
func (h *Head) Get(name string) (value string, count int) {
	for i := range h.Fields {
		if !sameName(h.Fields[i].Name, name) {
			continue
		}
		if count == 0 {
			value = h.Fields[i].Value
		}
		count++
	}

	return value, count
}

// Value is the value of the first field of a name, or empty.
func (h *Head) Value(name string) string {
	value, _ := h.Get(name)

	return value
}

// Path is the target without its query.
func (h *Head) Path() string {
	path, _, _ := strings.Cut(h.Target, "?")

	return path
}

func sameName(a, b string) bool {
	return len(a) == len(b) && strings.EqualFold(a, b)
}

// readHead reads up to and with the empty line. One empty line before the
// head is passed over.
func readHead(br *bufio.Reader, limit int) (string, error) {
	var head []byte
	for skipped := false; ; {
		line, err := br.ReadSlice('\n')
		if len(head)+len(line) > limit {
			return "", ErrHeadTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			head = append(head, line...)

			continue
		}
		if err != nil {
			return "", err
		}
		atStart := len(head) == 0
		if atStart && !skipped && string(line) == "\r\n" {
			skipped = true

			continue
		}
		head = append(head, line...)
		if string(line) == "\r\n" && (atStart || head[len(head)-3] == '\n') {
			return string(head), nil
		}
	}
}

// parseRequest parses a request's head strictly: whatever two readers could
// understand in two ways is refused.
func parseRequest(head string) (*Head, error) {
	line, rest, err := cutLine(head)
	if err != nil {
		return nil, err
	}
	method, after, ok := strings.Cut(line, " ")
	if !ok || !isToken(method) {
		return nil, eris.Wrapf(ErrMalformed, "request line")
	}
	target, version, ok := strings.Cut(after, " ")
	if !ok || target == "" || target[0] != '/' || !isVisible(target) {
		return nil, eris.Wrapf(ErrMalformed, "request target")
	}
	if version != _version {
		if strings.HasPrefix(version, "HTTP/") && !strings.Contains(version, " ") {
			return nil, ErrVersion
		}

		return nil, eris.Wrapf(ErrMalformed, "request line")
	}
	h := &Head{
		Method: method,
		Target: target,
	}
	if err := h.parseFields(rest); err != nil {
		return nil, err
	}
	if host, n := h.Get("Host"); n != 1 || host == "" || !isVisible(host) {
		return nil, eris.Wrapf(ErrMalformed, "%d host fields", n)
	}

	return h, nil
}

// parseResponse parses a response's head.
func parseResponse(head string) (*Head, error) {
	line, rest, err := cutLine(head)
	if err != nil {
		return nil, err
	}
	version, after, _ := strings.Cut(line, " ")
	if version != _version || len(after) < 3 || len(after) > 3 && after[3] != ' ' {
		return nil, eris.Wrapf(ErrMalformed, "status line")
	}
	status, err := strconv.Atoi(after[:3])
	if err != nil || status < 100 || status > 599 {
		return nil, eris.Wrapf(ErrMalformed, "status")
	}
	h := &Head{
		Status: status,
		Reason: strings.TrimPrefix(after[3:], " "),
	}

	return h, h.parseFields(rest)
}

// cutLine returns the text up to a CRLF, and what follows. A bare CR or LF
// and other control bytes are malformed.
func cutLine(s string) (line, rest string, err error) {
	i := strings.IndexByte(s, '\n')
	if i < 1 || s[i-1] != '\r' {
		return "", "", eris.Wrapf(ErrMalformed, "line end")
	}
	line = s[:i-1]
	for j := range len(line) {
		if c := line[j]; c < ' ' && c != '\t' || c == 0x7f {
			return "", "", eris.Wrapf(ErrMalformed, "control byte %#x", c)
		}
	}

	return line, s[i+1:], nil
}

func (h *Head) parseFields(s string) error {
	h.Fields = make([]Field, 0, 12)
	for s != "\r\n" {
		line, rest, err := cutLine(s)
		if err != nil {
			return err
		}
		name, value, ok := strings.Cut(line, ":")
		// A folded line begins with a space, which is no token either.
		if !ok || !isToken(name) {
			return eris.Wrapf(ErrMalformed, "field name")
		}
		h.Fields = append(h.Fields, Field{
			Name:  name,
			Value: strings.Trim(value, " \t"),
		})
		s = rest
	}

	return nil
}

func isToken(s string) bool {
	if s == "" {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}

	return true
}

func isVisible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}

	return true
}

// framing says how a message's body ends.
type framing struct {
	chunked bool
	// length is the declared length; -1 if there is none.
	length int
}

// framing reads the fields that frame the body. Both a length and chunks,
// two lengths, or a coding other than chunked are malformed.
func (h *Head) framing() (framing, error) {
	f := framing{length: -1}
	if coding, n := h.Get("Transfer-Encoding"); n > 0 {
		if n > 1 || !strings.EqualFold(coding, "chunked") {
			return f, eris.Wrapf(ErrMalformed, "transfer coding %q", coding)
		}
		f.chunked = true
	}
	length, n := h.Get("Content-Length")
	if n == 0 {
		return f, nil
	}
	if n > 1 || f.chunked || length == "" || len(length) > _maxLengthDigits {
		return f, eris.Wrapf(ErrMalformed, "content length")
	}
	f.length = 0
	for i := range len(length) {
		if length[i] < '0' || length[i] > '9' {
			return f, eris.Wrapf(ErrMalformed, "content length %q", length)
		}
		f.length = f.length*10 + int(length[i]-'0')
	}

	return f, nil
}

// HasToken says whether a comma-separated field value holds a token.
func HasToken(value, token string) bool {
	for part := range strings.SplitSeq(value, ",") {
		if strings.EqualFold(strings.TrimSpace(part), token) {
			return true
		}
	}

	return false
}

// perConnection are the fields that concern one connection only and are
// never passed on. Expect is answered here.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Proxy-Authenticate", "Proxy-Authorization",
}

// EndToEnd returns the fields to pass on: those that concern only one
// connection, by rule or named in Connection, are left out. A field for
// which protected says true stays even if Connection names it.
func (h *Head) EndToEnd(protected func(name string) bool) []Field {
	connection := h.Value("Connection")
	out := make([]Field, 0, len(h.Fields)+4)
fields:
	for _, f := range h.Fields {
		for _, name := range perConnection {
			if sameName(f.Name, name) {
				continue fields
			}
		}
		if connection != "" && HasToken(connection, f.Name) && !protected(f.Name) {
			continue
		}
		out = append(out, f)
	}

	return out
}
