// Package s3objects implements platform.Objects with one bucket of an object
// store that speaks the S3 protocol with path-style addresses.
package s3objects

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sort"

	"github.com/minio/minio-go/v7"
	"github.com/minio/minio-go/v7/pkg/credentials"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/platform/internal/sent"
)

// DefaultMaxObjectBytes is the default limit on the size of objects that Get
// returns.
const DefaultMaxObjectBytes = 256 << 20

// Error codes of rate limits.
const (
	codeSlowDown      = "SlowDown"
	codeSlowDownRead  = "SlowDownRead"
	codeSlowDownWrite = "SlowDownWrite"
)

// Config configures the access to a bucket.
type Config struct {
	Endpoint       string // URL without a path
	Region         string
	Bucket         string
	AccessKey      string
	SecretKey      string
	MaxObjectBytes int64             // zero: DefaultMaxObjectBytes
	Transport      http.RoundTripper // nil: the library's default
}

// Objects is a bucket. The minio library waits up to 0.2 s before it returns a
// server error, although it makes no second attempt. Objects is safe for
// concurrent use.
type Objects struct {
	client   *minio.Core
	bucket   string
	maxBytes int64
}

var _ platform.Objects = (*Objects)(nil)

// New returns the bucket of config. It sends no request.
func New(config Config) (*Objects, error) {
	endpoint, err := url.Parse(config.Endpoint)
	if err != nil {
		return nil, errors.Wrap(err, "object store: endpoint")
	}
	secure := endpoint.Scheme == "https"
	transport, err := newListTransport(config.Transport, secure)
	if err != nil {
		return nil, err
	}
	client, err := minio.NewCore(endpoint.Host, &minio.Options{
		Creds:        credentials.NewStaticV4(config.AccessKey, config.SecretKey, ""),
		Secure:       secure,
		Transport:    transport,
		Region:       config.Region, // if empty, the library requests it from the server
		BucketLookup: minio.BucketLookupPath,
		MaxRetries:   1, // number of attempts; the caller decides about retries
	})
	if err != nil {
		return nil, errors.Wrap(err, "object store")
	}
	if config.MaxObjectBytes == 0 {
		config.MaxObjectBytes = DefaultMaxObjectBytes
	}
	return &Objects{client: client, bucket: config.Bucket, maxBytes: config.MaxObjectBytes}, nil
}

// Put writes an object. After platform.ErrUnknownOutcome the object may or may not
// be written; the same Put may be repeated.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	ctx, wasSent := sent.Trace(ctx)
	_, err := o.client.Client.PutObject(ctx, o.bucket, name, bytes.NewReader(data), int64(len(data)), minio.PutObjectOptions{
		ContentType:      "application/octet-stream",
		DisableMultipart: true,
	})
	return wrap(classifyWrite(err, wasSent()), err, "put", name)
}

// Get returns an object, or platform.ErrNotFound.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	body, _, _, err := o.client.GetObject(ctx, o.bucket, name, minio.GetObjectOptions{})
	if err != nil {
		return nil, wrap(classifyRead(err), err, "get", name)
	}
	defer body.Close()
	data, err := io.ReadAll(io.LimitReader(body, o.maxBytes+1))
	if err != nil {
		return nil, wrap(platform.ErrUnavailable, err, "get", name)
	}
	if int64(len(data)) > o.maxBytes {
		return nil, errors.Errorf("object store: %q is larger than %d bytes", name, o.maxBytes)
	}
	return data, nil
}

// List returns the names that begin with prefix, in order.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // stops the library's goroutine
	var names []string
	for object := range o.client.Client.ListObjects(ctx, o.bucket, minio.ListObjectsOptions{Prefix: prefix, Recursive: true}) {
		if object.Err != nil {
			return nil, wrap(classifyRead(object.Err), object.Err, "list", prefix)
		}
		names = append(names, object.Key)
	}
	if err := ctx.Err(); err != nil {
		return nil, wrap(platform.ErrUnavailable, err, "list", prefix)
	}
	sort.Strings(names)
	return names, nil
}

// Delete removes an object; a missing one is no error.
func (o *Objects) Delete(ctx context.Context, name string) error {
	ctx, wasSent := sent.Trace(ctx)
	err := o.client.RemoveObject(ctx, o.bucket, name, minio.RemoveObjectOptions{})
	return wrap(classifyWrite(err, wasSent()), err, "delete", name)
}

func wrap(class, cause error, operation, name string) error {
	if class == nil {
		return nil
	}
	return errors.Wrapf(class, "%s object %q: %v", operation, name, cause)
}

// classifyRead maps the error of a failed read to one of package platform.
func classifyRead(err error) error {
	switch response := minio.ToErrorResponse(err); response.Code {
	case minio.NoSuchKey:
		return platform.ErrNotFound
	case codeSlowDown, codeSlowDownRead, codeSlowDownWrite:
		return platform.ErrThrottled
	default:
		return platform.ErrUnavailable
	}
}

// classifyWrite maps the error of a write to one of package platform, nil to nil.
func classifyWrite(err error, sent bool) error {
	if err == nil {
		return nil
	}
	if !sent {
		return platform.ErrUnavailable
	}
	response := minio.ToErrorResponse(err)
	switch {
	case classifyRead(err) == platform.ErrThrottled:
		return platform.ErrThrottled
	case response.StatusCode >= http.StatusBadRequest && response.StatusCode < http.StatusInternalServerError:
		return platform.ErrUnavailable
	default:
		return platform.ErrUnknownOutcome
	}
}
