package exchange

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/tinylib/msgp/msgp"

	"papayastair.dev/papayastair/wire"
)

// malformedBulletins are payloads that no instance sends, in JSON: incomplete or
// with extreme values.
var malformedBulletins = []string{
	`null`,
	`[]`,
	`{}`,
	`{"Name":"x"}`,
	`{"Name":"x","Address":"[::1]:9"}`,
	`{"Name":"i001","Address":"10.0.0.1:0","Scope":"Own"}`,
	`{"Name":"i001","Address":"10.0.0.1:1","Scope":"All","Members":[{"Name":""},{"Name":"i000"},{"Name":"i002"}],"Heard":[{"Name":"i000"}]}`,
	`{"Name":"i001","Address":"10.0.0.1:1","Scope":"Group","Members":null,"Held":[{"Server":"","Targets":null}],"Urgent":true}`,
	`{"Name":"i003","Address":"10.0.0.1:1","Scope":"Note","Needs":["","|","a|b/c/d"],"Asked":[{"Workspace":"","Spent":-1e308}]}`,
	`{"Name":"i004","Address":"10.0.0.1:1","FailureDomain":"elsewhere","Shards":[{"Shard":-1},{"Shard":1000000,"LeftMS":-5,"Holder":"nobody"}]}`,
	`{"Name":"i005","Address":"10.0.0.1:1","SentMS":-9223372036854775808,"Start":9223372036854775807,"Running":[{"Server":"s1","Count":-9223372036854775808}]}`,
	`{"Name":"i006","Address":"10.0.0.1:1","Demand":[{"PerSecond":1e308,"Running":-1,"Waiting":-1,"Rank":-1},{"PerSecond":1e308}]}`,
	"{\"Name\":\"\xff\",\"Address\":\"10.0.0.1:1\"}",
}

// payloadOf returns a JSON payload in the encoding of bulletins.
func payloadOf(t testing.TB, text string) []byte {
	t.Helper()
	d := json.NewDecoder(strings.NewReader(text))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		t.Fatal(err)
	}
	payload, err := msgp.AppendIntf(nil, numbers(v))
	if err != nil {
		t.Fatal(err)
	}

	return payload
}

// numbers replaces the numbers of a decoded JSON value by integers or floats.
func numbers(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for k, element := range v {
			v[k] = numbers(element)
		}
	case []any:
		for i, element := range v {
			v[i] = numbers(element)
		}
	case json.Number:
		if n, err := v.Int64(); err == nil {
			return n
		}
		f, _ := v.Float64()

		return f
	}

	return v
}

// FuzzBulletin feeds arbitrary datagrams to the members of a small mesh and of
// a group with relays. A panic would stop the process or its receiver.
func FuzzBulletin(f *testing.F) {
	for _, text := range malformedBulletins {
		f.Add(s2.EncodeBetter(nil, payloadOf(f, text)))
		f.Add(s2.EncodeBetter(nil, []byte(text)))
	}
	// Headers of an array and of a map that announce far more than follows.
	f.Add(s2.EncodeBetter(nil, []byte("\x81\xa7Running\xdd\xff\xff\xff\xff\x80")))
	f.Add(s2.EncodeBetter(nil, []byte("\xdf\xff\xff\xff\xff\xa4Name\xa1x")))
	f.Add([]byte("\xff\xff\xff\xff\x7f"))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := decode(data)
		if err != nil || b.Name == "" || b.Name == "i000" {
			return
		}
		for _, n := range []int{2, testSmall} {
			sim := newSimulation(t, 1, n)
			for _, m := range sim.members {
				if m.cfg.Name == b.Name {
					continue
				}
				if _, ok := m.v.apply(b, sim.now); ok {
					m.v.handleRelayed(b, sim.now)
				}
				own := sim.compose(m)
				m.v.recordSent(own)
				m.v.relayBulletins(own, trigger{period: true, held: true, needs: true}, sim.now)
				m.v.meshBulletins(own, sim.now)
				m.v.expire(sim.now + time.Hour)
				m.v.setRecords([]wire.EntryRecord{{}, {Address: "x"}, {Address: "10.0.0.1:1"}})
				m.v.instances(sim.now)
			}
		}
	})
}
