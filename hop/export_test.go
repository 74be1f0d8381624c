package hop

import "time"

// ParseRequestForTest parses a head as the server does.
func ParseRequestForTest(text string) (*Head, error) {
	return parseRequest(text)
}

// ServeForTest serves callers that may read nothing of an answer for so long.
func ServeForTest(cfg ServerConfig, patience time.Duration) *Server {
	return serve(cfg, patience)
}

// SilenceForTest is how long a connection to a silent backend server is kept.
const SilenceForTest = _silence
