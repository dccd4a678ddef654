package platformtest_test

import (
	"fmt"
	"testing"

	"martenwheel.dev/pkg/platform/dynamotable"
	"martenwheel.dev/pkg/platform/platformtest"
	"martenwheel.dev/pkg/platform/s3objects"
	"martenwheel.dev/pkg/standin"
)

func startBenchPlatform(b *testing.B) string {
	b.Helper()
	server, err := standin.ListenPlatform("127.0.0.1:0", unlimited())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Close)
	return "http://" + server.Address()
}

func BenchmarkTableCommit(b *testing.B) {
	table := dynamotable.New(dynamotable.Config{Endpoint: startBenchPlatform(b), Region: "r", Table: "t", Partition: "p", AccessKey: "k", SecretKey: "s"})
	b.ReportAllocs()
	version := uint64(0)
	for b.Loop() {
		if err := table.Commit(b.Context(), platformtest.Put(fmt.Sprint(version), "a", "value", version)); err != nil {
			b.Fatal(err)
		}
		version++
	}
}

func BenchmarkTableGet(b *testing.B) {
	table := dynamotable.New(dynamotable.Config{Endpoint: startBenchPlatform(b), Region: "r", Table: "t", Partition: "p", AccessKey: "k", SecretKey: "s"})
	if err := table.Commit(b.Context(), platformtest.Put("1", "a", "value", 0)); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := table.Get(b.Context(), "a", true); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkObjectGetMegabyte(b *testing.B) {
	objects, err := s3objects.New(s3objects.Config{Endpoint: startBenchPlatform(b), Region: "r", Bucket: "bucket", AccessKey: "k", SecretKey: "s"})
	if err != nil {
		b.Fatal(err)
	}
	if err := objects.Put(b.Context(), "a", make([]byte, 1<<20)); err != nil {
		b.Fatal(err)
	}
	b.SetBytes(1 << 20)
	for b.Loop() {
		if _, err := objects.Get(b.Context(), "a"); err != nil {
			b.Fatal(err)
		}
	}
}
