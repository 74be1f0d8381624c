package main

import (
	"fmt"
	"os"
	"os/signal"

	"github.com/rotisserie/eris"

	"papayastair.dev/papayastair/demo"
)

// demoCommand shows the system at work on stand-ins.
type demoCommand struct {
	Keep    bool   `help:"Stay up after the checks and print a line to try."`
	LogFile string `help:"The file that the events of all instances go to."`
}

// Run succeeds only if everything that the demo checks held.
func (c demoCommand) Run(out output) error {
	d, err := demo.New(c.LogFile)
	if err != nil {
		return err
	}
	defer d.Close()
	held := d.Run()
	if err := out.print(d.Checks, d.Table()); err != nil {
		return err
	}
	if !held {
		return eris.New("not everything held")
	}
	if c.Keep {
		return c.keep(out, d)
	}

	return nil
}

func (c demoCommand) keep(out output, d *demo.Demo) error {
	_, err := fmt.Fprintf(out.w, "curl -N http://%s/v1/completions -H 'Authorization: Bearer demo-key-desk-1' -d '{\"model\":\"badge-layout\",\"prompt\":\"hello\",\"max_tokens\":20,\"stream\":true}'\n",
		d.Fleet.Addresses()[0])
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt)
	<-signals

	return nil
}
