package s3objects

import (
	"net"

	"github.com/pkg/errors"
)

// isDialError tells whether no connection stood when the request failed.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
