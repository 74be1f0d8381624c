package exchange

import (
	"testing"
	"time"

	"github.com/klauspost/compress/s2"

	"papayastair.dev/papayastair/wire"
)

// foreignBulletins are words of another writer, by the texts that they hold.
var foreignBulletins = []string{
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

// FuzzBulletin feeds any datagram to an instance that tells all others and to
// one that relays: a panic there ends the process, or what it is told.
func FuzzBulletin(f *testing.F) {
	for _, text := range foreignBulletins {
		f.Add(s2.EncodeBetter(nil, []byte(text)))
	}
	f.Add([]byte("\xff\xff\xff\xff\x7f"))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := decode(data)
		if err != nil || b.Name == "" || b.Name == "i000" {
			return
		}
		for _, n := range []int{2, testSmall} {
			w := newWorld(t, 1, n)
			for _, m := range w.members {
				if m.cfg.Name == b.Name {
					continue
				}
				if _, ok := m.v.take(b, w.now); ok {
					m.v.relayed(b, w.now)
				}
				own := w.compose(m)
				m.v.keepSent(own)
				m.v.round(own, cause{period: true, held: true, needs: true}, w.now)
				m.v.mesh(own, w.now)
				m.v.expire(w.now + time.Hour)
				m.v.setRecords([]wire.EntryRecord{{}, {Address: "x"}, {Address: "10.0.0.1:1"}})
				m.v.instances(w.now)
			}
		}
	})
}
