package watch

import (
	"context"
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/revision"
)

// largeTable returns a table of 3,000 servers.
func largeTable() *Table {
	t := &Table{Name: "servers", Apply: func(map[string]Record, revision.Revision) {}, Logger: hclog.NewNullLogger()}
	page := Page{Version: 5000}
	for i := range 3000 {
		page.Records = append(page.Records, Record{Key: fmt.Sprintf("i-%08x", 0x9e3779b1*uint32(i)), Version: revision.Revision(i), Value: fmt.Appendf(nil,
			`{"kind":"ledger-assist","at":"10.%d.%d.%d:8501","zone":"lakes-%c","build":1,"places":16,"says":"ready","warmsUpFor":0,"count":1,"holds":[{"name":"m%d","build":1,"adapters":["a1"]},{"name":"m%d","build":1,"adapters":[]}],"copies":{"memory":["m%d"],"disk":["m%d","m%d"]}}`,
			i%3+1, 64+i/250, i%250, 'a'+i%3, i%400, i%397, i%400, i%400, i%397)})
	}
	t.Replace(page, 0)
	return t
}

func BenchmarkPullOfALargeTable(b *testing.B) {
	h := &Hub{Tables: []*Table{largeTable()}}
	b.ReportAllocs()
	for b.Loop() {
		answer, _, err := h.Handle(context.Background(), Pull{Table: "servers"})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(answer.(PullAnswer).Records)), "bytes")
	}
}
