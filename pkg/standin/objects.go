package standin

import (
	"bufio"
	"bytes"
	"crypto/md5"
	"encoding/hex"
	"encoding/xml"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// maxKeysPerPage is the page size of a list of objects.
const maxKeysPerPage = 1000

// object is one stored object.
type object struct {
	data     []byte
	tag      string
	modified time.Time
}

// objectStore implements the part of the S3 protocol that reads, writes, deletes
// and lists objects. It does not check signatures. It is safe for concurrent use.
type objectStore struct {
	clock   *Clock
	limiter *rate.Limiter

	mutex   sync.Mutex
	objects map[string]object // by bucket and name
}

func newObjectStore(clock *Clock, limiter *rate.Limiter) *objectStore {
	return &objectStore{clock: clock, limiter: limiter, objects: map[string]object{}}
}

func (o *objectStore) serve(writer http.ResponseWriter, request *http.Request) {
	if !o.limiter.AllowN(o.clock.Now(), 1) {
		writeS3Error(writer, http.StatusServiceUnavailable, "SlowDown")
		return
	}
	bucket, name := request.PathValue("bucket"), request.PathValue("name")
	key := bucket + "/" + name
	switch {
	case request.Method == http.MethodGet && name == "":
		o.list(writer, request, bucket)
	case request.Method == http.MethodGet, request.Method == http.MethodHead:
		o.get(writer, request, key)
	case request.Method == http.MethodPut && name != "":
		o.put(writer, request, key)
	case request.Method == http.MethodDelete && name != "":
		o.mutex.Lock()
		delete(o.objects, key)
		o.mutex.Unlock()
		writer.WriteHeader(http.StatusNoContent)
	default:
		writeS3Error(writer, http.StatusMethodNotAllowed, "MethodNotAllowed")
	}
}

func (o *objectStore) put(writer http.ResponseWriter, request *http.Request, key string) {
	data, err := readObject(request)
	if err != nil {
		writeS3Error(writer, http.StatusBadRequest, "IncompleteBody")
		return
	}
	sum := md5.Sum(data)
	stored := object{data: data, tag: `"` + hex.EncodeToString(sum[:]) + `"`, modified: o.clock.Now()}
	o.mutex.Lock()
	o.objects[key] = stored
	o.mutex.Unlock()
	writer.Header().Set("ETag", stored.tag)
}

func (o *objectStore) get(writer http.ResponseWriter, request *http.Request, key string) {
	o.mutex.Lock()
	stored, ok := o.objects[key]
	o.mutex.Unlock()
	if !ok {
		writeS3Error(writer, http.StatusNotFound, "NoSuchKey")
		return
	}
	writer.Header().Set("ETag", stored.tag)
	writer.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(writer, request, "", stored.modified, bytes.NewReader(stored.data))
}

// listResult is the answer to ListObjectsV2.
type listResult struct {
	XMLName               xml.Name     `xml:"ListBucketResult"`
	Name                  string       `xml:"Name"`
	Prefix                string       `xml:"Prefix"`
	KeyCount              int          `xml:"KeyCount"`
	MaxKeys               int          `xml:"MaxKeys"`
	IsTruncated           bool         `xml:"IsTruncated"`
	NextContinuationToken string       `xml:"NextContinuationToken,omitempty"`
	Contents              []listedItem `xml:"Contents"`
}

type listedItem struct {
	Key          string `xml:"Key"`
	LastModified string `xml:"LastModified"`
	ETag         string `xml:"ETag"`
	Size         int    `xml:"Size"`
}

func (o *objectStore) list(writer http.ResponseWriter, request *http.Request, bucket string) {
	query := request.URL.Query()
	result := listResult{Name: bucket, Prefix: query.Get("prefix"), MaxKeys: maxKeysPerPage}
	after := max(query.Get("continuation-token"), query.Get("start-after"))
	o.mutex.Lock()
	for key, stored := range o.objects {
		name, ok := strings.CutPrefix(key, bucket+"/")
		if !ok || !strings.HasPrefix(name, result.Prefix) || name <= after {
			continue
		}
		result.Contents = append(result.Contents, listedItem{
			Key:          name,
			LastModified: stored.modified.UTC().Format("2006-01-02T15:04:05.000Z"),
			ETag:         stored.tag,
			Size:         len(stored.data),
		})
	}
	o.mutex.Unlock()
	sort.Slice(result.Contents, func(i, j int) bool { return result.Contents[i].Key < result.Contents[j].Key })
	if len(result.Contents) > maxKeysPerPage {
		result.Contents = result.Contents[:maxKeysPerPage]
		result.IsTruncated = true
		result.NextContinuationToken = result.Contents[maxKeysPerPage-1].Key
	}
	result.KeyCount = len(result.Contents)
	writeXML(writer, http.StatusOK, result)
}

func writeS3Error(writer http.ResponseWriter, status int, code string) {
	writeXML(writer, status, struct {
		XMLName xml.Name `xml:"Error"`
		Code    string   `xml:"Code"`
		Message string   `xml:"Message"`
	}{Code: code, Message: code})
}

func writeXML(writer http.ResponseWriter, status int, answer any) {
	writer.Header().Set("Content-Type", "application/xml")
	writer.WriteHeader(status)
	_ = xml.NewEncoder(writer).Encode(answer) // fails only if the caller left
}

// readObject reads the body of a PUT request, which may be in signed chunks.
func readObject(request *http.Request) ([]byte, error) {
	if !strings.HasPrefix(request.Header.Get("X-Amz-Content-Sha256"), "STREAMING-") {
		return io.ReadAll(request.Body)
	}
	return decodeSignedChunks(bufio.NewReader(request.Body))
}

// decodeSignedChunks decodes the aws-chunked encoding: each chunk is its
// length in hex, ";chunk-signature=...", CRLF, the data, CRLF; the last one is
// empty and followed by trailers.
func decodeSignedChunks(body *bufio.Reader) ([]byte, error) {
	var data bytes.Buffer
	for {
		header, err := body.ReadString('\n')
		if err != nil {
			return nil, errors.Wrap(err, "chunk header")
		}
		length, _, _ := strings.Cut(strings.TrimSpace(header), ";")
		size, err := strconv.ParseInt(length, 16, 32)
		if err != nil {
			return nil, errors.Wrap(err, "chunk length")
		}
		if size == 0 {
			return data.Bytes(), nil
		}
		if _, err := io.CopyN(&data, body, size); err != nil {
			return nil, errors.Wrap(err, "chunk")
		}
		if _, err := body.Discard(len("\r\n")); err != nil {
			return nil, errors.Wrap(err, "chunk end")
		}
	}
}
