package gateway

import (
	"bytes"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"papayastair.dev/papayastair/wire"
)

const (
	_bearer                 = "Bearer "
	_defaultOutputTokens    = 256
	_maxOutputTokens        = 1 << 20
	_bytesPerToken          = 3
	_prefixBlockBytes       = 256
	_maxPrefixBlocks        = 32
	_maxRequestIDBytes      = 64
	_defaultResponseTimeout = 60 * time.Second
	_batchResponseTimeout   = 12 * time.Hour
)

var _parsers fastjson.ParserPool

// completionRequest is a caller's request for a completion, out of fasthttp's
// buffers.
type completionRequest struct {
	work   Work
	path   string
	body   []byte
	stream bool
	chat   bool
	resume int
}

// authenticate finds the caller by the request's key.
func (g *Gateway) authenticate(c fiber.Ctx) (Caller, bool) {
	key := callerKey(c)
	if len(key) == 0 {
		return Caller{}, false
	}

	return g.cfg.Parts.Authenticate(key)
}

// callerKey is the key in the request's headers. It is valid only until the
// handler returns.
func callerKey(c fiber.Ctx) []byte {
	header := &c.RequestCtx().Request.Header
	if value := header.Peek(fiber.HeaderAuthorization); bytes.HasPrefix(value, []byte(_bearer)) {
		return bytes.TrimSpace(value[len(_bearer):])
	}

	return header.Peek("X-Api-Key")
}

// parseCompletion reads a request. With a problem it also returns the status.
func (g *Gateway) parseCompletion(c fiber.Ctx, caller Caller) (completionRequest, int, *problem) {
	parser := _parsers.Get()
	defer _parsers.Put(parser)
	value, err := parser.ParseBytes(c.Body())
	if err != nil || value.Type() != fastjson.TypeObject {
		p := badRequest("invalid_json", "the body is not a JSON object")

		return completionRequest{}, fasthttp.StatusBadRequest, &p
	}
	path := clone(c.Path())
	r := completionRequest{
		path:   path,
		stream: value.GetBool("stream"),
		chat:   path == "/v1/chat/completions",
	}
	name := string(value.GetStringBytes("model"))
	target, access := g.cfg.Parts.Find(caller, name)
	if access != AccessAllowed {
		// A model of another workspace is not told apart from none at all.
		p := badRequest("model_not_found", "no model "+strconv.Quote(name)+" for this workspace")

		return r, fasthttp.StatusNotFound, &p
	}
	if p := r.setLimits(c, g.cfg.Timer.Now(), value); p != nil {
		return r, fasthttp.StatusBadRequest, p
	}
	r.body = engineBody(value)
	if bytes.Contains(r.body, callerKey(c)) {
		p := badRequest("key_in_body", "the body holds the caller's key, which backend servers must not see")

		return r, fasthttp.StatusBadRequest, &p
	}
	r.work.ID = uuid.NewString()
	r.work.RequestID = requestID(c, r.work.ID)
	r.work.Caller = caller
	r.work.Target = target
	r.work.Priority = g.cfg.Parts.Priority(caller, wire.Priority(clone(c.Get(_headerPriority))))
	r.work.InputTokens = len(r.body)/_bytesPerToken + 1
	r.work.Fingerprint = xxhash.Sum64(append([]byte(caller.Workspace+"\x00"+name+"\x00"), r.body...))
	r.work.PrefixHashes = prefixHashes(target.Model, prompt(value, r.chat))
	if r.work.Deadline.IsZero() {
		r.work.Deadline = g.cfg.Timer.Now().Add(defaultTimeout(r.work.Priority))
	}

	return r, fasthttp.StatusOK, nil
}

// setLimits reads what bounds the request: tokens, time and resumption.
func (r *completionRequest) setLimits(c fiber.Ctx, now time.Time, value *fastjson.Value) *problem {
	r.work.MaxOutputTokens = _defaultOutputTokens
	if limit := value.Get("max_tokens"); limit != nil {
		n, err := limit.Int()
		if err != nil || n < 1 || n > _maxOutputTokens {
			p := badRequest("invalid_max_tokens", "max_tokens is not a whole number from 1 to "+strconv.Itoa(_maxOutputTokens))

			return &p
		}
		r.work.MaxOutputTokens = n
	}
	if text := c.Get(_headerTimeout); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			p := badRequest("invalid_timeout", _headerTimeout+" is not a positive number of milliseconds")

			return &p
		}
		r.work.Deadline = now.Add(time.Duration(n) * time.Millisecond)
	}
	if text := c.Get(_headerLastEvent); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > r.work.MaxOutputTokens {
			p := badRequest("invalid_last_event_id", _headerLastEvent+" is not the id of an event of this answer")

			return &p
		}
		r.resume = n
	}

	return nil
}

// engineBody is the request as engines get it: always a stream, with escapes
// in strings undone.
func engineBody(value *fastjson.Value) []byte {
	unescape(value)
	value.Set("stream", fastjson.MustParse("true"))
	value.Del("user")

	return value.MarshalTo(nil)
}

// unescape makes fastjson decode all strings, which it does when they are
// first asked for, so that no escape hides a key.
func unescape(value *fastjson.Value) {
	switch value.Type() {
	case fastjson.TypeObject:
		// The value is an object, so there is no error.
		object, _ := value.Object()
		object.Visit(func(_ []byte, v *fastjson.Value) { unescape(v) })
	case fastjson.TypeArray:
		for _, v := range value.GetArray() {
			unescape(v)
		}
	default:
	}
}

// requestID is the caller's id of the request, or the instance's own.
func requestID(c fiber.Ctx, own string) string {
	id := clone(c.Get(_headerRequestID))
	if id == "" || len(id) > _maxRequestIDBytes || slices.ContainsFunc([]byte(id), isUnsafeIDByte) {
		return own
	}

	return id
}

func isUnsafeIDByte(b byte) bool {
	isLetter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
	isDigit := b >= '0' && b <= '9'

	return !isLetter && !isDigit && b != '-' && b != '_'
}

// prompt is the text whose prefix an engine may have in its cache.
func prompt(value *fastjson.Value, chat bool) []byte {
	if !chat {
		return value.GetStringBytes("prompt")
	}
	var text []byte
	for _, message := range value.GetArray("messages") {
		text = append(text, message.GetStringBytes("content")...)
	}

	return text
}

// prefixHashes are the hashes of the leading blocks of a prompt, each with
// all blocks before it.
func prefixHashes(model string, text []byte) []int {
	blocks := min(len(text)/_prefixBlockBytes, _maxPrefixBlocks)
	if blocks == 0 {
		return nil
	}
	hashes := make([]int, 0, blocks)
	digest := xxhash.New()
	// Writes to a digest don't fail.
	_, _ = digest.WriteString(model)
	for i := range blocks {
		_, _ = digest.Write(text[i*_prefixBlockBytes : (i+1)*_prefixBlockBytes])
		hashes = append(hashes, int(digest.Sum64()))
	}

	return hashes
}

func defaultTimeout(priority wire.Priority) time.Duration {
	if priority == wire.PriorityBatch {
		return _batchResponseTimeout
	}

	return _defaultResponseTimeout
}
