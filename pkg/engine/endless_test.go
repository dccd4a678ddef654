package engine_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"martenwheel.dev/pkg/engine"
)

// Guards against a client that holds as much of the answer to an order or a report as of an exported cache.
func TestFAULTOfAnswersToOrdersWithoutEnd(t *testing.T) {
	const endless = 48 << 20
	piece := []byte(strings.Repeat(" ", 32<<10))
	for name, call := range map[string]func(context.Context, *engine.HTTPClient, string) error{
		"order": func(ctx context.Context, c *engine.HTTPClient, address string) error {
			_, err := c.Order(ctx, address, testOrder())
			return err
		},
		"inventory": func(ctx context.Context, c *engine.HTTPClient, address string) error {
			_, err := c.Inventory(ctx, address, engine.InventoryRequest{})
			return err
		},
		"load": func(ctx context.Context, c *engine.HTTPClient, address string) error {
			_, err := c.Load(ctx, address)
			return err
		},
		"cache events": func(ctx context.Context, c *engine.HTTPClient, address string) error {
			_, err := c.CacheEvents(ctx, address, 0)
			return err
		},
		"cancel": func(ctx context.Context, c *engine.HTTPClient, address string) error {
			return c.Cancel(ctx, address, engine.CancelRequest{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			server := newRawServer(t, func(conn net.Conn) {
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
				for err == nil && sent.Load() < endless {
					var n int
					n, err = conn.Write(piece)
					sent.Add(int64(n))
				}
			})
			if call(t.Context(), engine.NewHTTPClient(engine.HTTPClientConfig{}), server.address) == nil {
				t.Error("the answer is taken for one")
			}
			t.Logf("%d MB sent", sent.Load()/1e6)
			if sent.Load() >= endless {
				t.Error("FAULT: the client takes all that comes")
			}
		})
	}
}
