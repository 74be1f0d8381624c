package hop

import "net/http"

// reasonOf is the usual text of a status.
func reasonOf(status int) string {
	if text := http.StatusText(status); text != "" {
		return text
	}

	return "Status"
}
