package main

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

const _httpTimeout = 5 * time.Second

// statusCommand asks an instance what it has in force and sees.
type statusCommand struct {
	Operator string `xor:"address" required:"" env:"PAPAYASTAIR_OPERATOR" help:"The IP:port of an instance's operators' address."`
	Entry    string `xor:"address" required:"" help:"The IP:port of an entry instance's metrics address, on the users' platform."`
}

// Run prints the status.
func (s statusCommand) Run(out output) error {
	address := s.Operator
	if s.Entry != "" {
		address = s.Entry
	}

	return printAnswer(out, "http://"+address+"/status")
}

// locateCommand asks an instance which one to use.
type locateCommand struct {
	Instance      string `required:"" env:"PAPAYASTAIR_INSTANCE" help:"The IP:port of any instance."`
	FailureDomain string `help:"The caller's failure domain."`
	Region        string `help:"The caller's region."`
}

// Run prints the answer.
func (l locateCommand) Run(out output) error {
	query := url.Values{}
	query.Set("failure_domain", l.FailureDomain)
	query.Set("region", l.Region)

	return printAnswer(out, "http://"+l.Instance+"/v1/locate?"+query.Encode())
}

// printAnswer prints an answer in JSON, indented in both forms of output.
func printAnswer(out output, address string) error {
	client := http.Client{Timeout: _httpTimeout}
	resp, err := client.Get(address)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s: %s", address, resp.Status)
	}
	var value any
	if err := json.NewDecoder(resp.Body).Decode(&value); err != nil {
		return eris.Wrapf(err, "%s", address)
	}
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}

	return out.print(value, string(text))
}
