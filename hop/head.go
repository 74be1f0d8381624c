package hop

import (
	"bufio"
	"errors"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Field is a header field. Its name keeps the case in which it was received.
type Field struct {
	Name  string
	Value string
}

// Head is the start line and the header fields of a request or a response.
type Head struct {
	// Method and Target are set for requests. Target is kept as received and
	// never decoded.
	Method string
	Target string
	// Status and Reason are set for responses.
	Status int
	Reason string
	// Fields holds the header fields in the order received.
	Fields []Field
}

// Errors of reading heads and bodies. StatusOf returns the status code for each.
var (
	// ErrMalformed is returned for a message that is not valid HTTP/1.1.
	ErrMalformed = errors.New("malformed HTTP message")
	// ErrHeadTooLarge is returned for a head that exceeds its size limit.
	ErrHeadTooLarge = errors.New("message head too large")
	// ErrBodyTooLarge is returned for a body that exceeds its size limit.
	ErrBodyTooLarge = errors.New("message body too large")
	// ErrVersion is returned for a request of a version other than HTTP/1.1.
	ErrVersion = errors.New("HTTP version is not HTTP/1.1")
)

const (
	_version = "HTTP/1.1"
	// _maxLengthDigits keeps a content length within the range of int.
	_maxLengthDigits = 15
)

// Get returns the value of the first field with the given name and the number
// of fields with that name. Names are compared case-insensitively.
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

// Value returns the value of the first field with the given name, or "".
func (h *Head) Value(name string) string {
	value, _ := h.Get(name)

	return value
}

// Path returns the target without its query.
func (h *Head) Path() string {
	path, _, _ := strings.Cut(h.Target, "?")

	return path
}

func sameName(a, b string) bool {
	return len(a) == len(b) && strings.EqualFold(a, b)
}

// readHeadText reads a head, including the empty line that ends it. It skips one
// empty line before the head.
func readHeadText(br *bufio.Reader, limit int) (string, error) {
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

// parseRequest parses the head of a request strictly: it rejects anything that
// two parsers could interpret differently.
func parseRequest(head string) (*Head, error) {
	line, rest, err := cutLine(head)
	if err != nil {
		return nil, err
	}
	method, after, ok := strings.Cut(line, " ")
	if !ok || !isToken(method) {
		return nil, eris.Wrapf(ErrMalformed, "invalid request line")
	}
	target, version, ok := strings.Cut(after, " ")
	if !ok || target == "" || target[0] != '/' || !isVisible(target) {
		return nil, eris.Wrapf(ErrMalformed, "invalid request target")
	}
	if version != _version {
		if strings.HasPrefix(version, "HTTP/") && !strings.Contains(version, " ") {
			return nil, ErrVersion
		}

		return nil, eris.Wrapf(ErrMalformed, "invalid request line")
	}
	h := &Head{
		Method: method,
		Target: target,
	}
	if err := h.parseFields(rest); err != nil {
		return nil, err
	}
	if host, n := h.Get("Host"); n != 1 || host == "" || !isVisible(host) {
		return nil, eris.Wrapf(ErrMalformed, "invalid Host field, count %d", n)
	}

	return h, nil
}

// parseResponse parses the head of a response.
func parseResponse(head string) (*Head, error) {
	line, rest, err := cutLine(head)
	if err != nil {
		return nil, err
	}
	version, after, _ := strings.Cut(line, " ")
	if version != _version || len(after) < 3 || len(after) > 3 && after[3] != ' ' {
		return nil, eris.Wrapf(ErrMalformed, "invalid status line")
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

// cutLine returns the text before the first CRLF and the text after it. A bare
// CR or LF and control bytes other than tab are malformed.
func cutLine(s string) (line, rest string, err error) {
	i := strings.IndexByte(s, '\n')
	if i < 1 || s[i-1] != '\r' {
		return "", "", eris.Wrapf(ErrMalformed, "invalid line ending")
	}
	line = s[:i-1]
	if err := checkControlBytes(line); err != nil {
		return "", "", err
	}

	return line, s[i+1:], nil
}

// checkControlBytes reports a control byte in s other than tab, which no line of a head may
// contain.
func checkControlBytes(s string) error {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return eris.Wrapf(ErrMalformed, "control byte %#x", c)
		}
	}

	return nil
}

func (h *Head) parseFields(s string) error {
	h.Fields = make([]Field, 0, 12)
	for s != "\r\n" {
		line, rest, err := cutLine(s)
		if err != nil {
			return err
		}
		name, value, ok := strings.Cut(line, ":")
		// A folded line begins with a space and so isn't a token either.
		if !ok || !isToken(name) {
			return eris.Wrapf(ErrMalformed, "invalid field name")
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

// framing describes how the end of a message's body is determined.
type framing struct {
	chunked bool
	// length is the declared content length, or -1 if there is none.
	length int
}

// framing interprets the fields that frame the body. A content length together
// with a transfer coding, several content lengths, and any coding other than
// chunked are malformed.
func (h *Head) framing() (framing, error) {
	f := framing{length: -1}
	if coding, n := h.Get("Transfer-Encoding"); n > 0 {
		if n > 1 || !strings.EqualFold(coding, "chunked") {
			return f, eris.Wrapf(ErrMalformed, "invalid Transfer-Encoding %q", coding)
		}
		f.chunked = true
	}
	length, n := h.Get("Content-Length")
	if n == 0 {
		return f, nil
	}
	if n > 1 || f.chunked || length == "" || len(length) > _maxLengthDigits {
		return f, eris.Wrapf(ErrMalformed, "invalid Content-Length")
	}
	f.length = 0
	for i := range len(length) {
		if length[i] < '0' || length[i] > '9' {
			return f, eris.Wrapf(ErrMalformed, "invalid Content-Length %q", length)
		}
		f.length = f.length*10 + int(length[i]-'0')
	}

	return f, nil
}

// HasToken reports whether a comma-separated field value contains token,
// ignoring case.
func HasToken(value, token string) bool {
	for part := range strings.SplitSeq(value, ",") {
		if strings.EqualFold(strings.TrimSpace(part), token) {
			return true
		}
	}

	return false
}

// hopByHopFields lists the fields that apply to a single connection and are
// never forwarded. Expect is among them because the server handles it itself.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Proxy-Authenticate", "Proxy-Authorization",
}

// EndToEnd returns the fields to forward. It omits the hop-by-hop fields and
// those listed in Connection; a field for which protected returns true is kept
// even if Connection lists it.
func (h *Head) EndToEnd(protected func(name string) bool) []Field {
	connection := h.Value("Connection")
	out := make([]Field, 0, len(h.Fields)+4)
fields:
	for _, f := range h.Fields {
		for _, name := range hopByHopFields {
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
