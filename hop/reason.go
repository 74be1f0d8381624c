package hop

import "net/http"

// reasonPhrase returns the standard reason phrase of a status code, or "Status"
// for an unknown code.
func reasonPhrase(status int) string {
	if text := http.StatusText(status); text != "" {
		return text
	}

	return "Status"
}
