package engine_test

import (
	"testing"

	"martenwheel.dev/pkg/engine"
)

func BenchmarkClientOrder(b *testing.B) {
	server := newRawServer(b, writeAnswer("200 OK", accepted))
	client := engine.NewHTTPClient(engine.HTTPClientConfig{})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Order(b.Context(), server.address, testOrder()); err != nil {
			b.Fatal(err)
		}
	}
}
