package hop

// ParseRequestForTest parses a head as the server does.
func ParseRequestForTest(text string) (*Head, error) {
	return parseRequest(text)
}
