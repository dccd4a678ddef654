package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

func writeJSON(writer http.ResponseWriter, answer any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(answer) // fails only if the caller left
}

func readJSON(body io.Reader, request any) error {
	return errors.Wrap(json.NewDecoder(body).Decode(request), "body")
}

// postJSON posts request and decodes the response into answer unless answer is
// nil. It returns the HTTP status, or zero if there was no response.
func postJSON(ctx context.Context, client *http.Client, url string, request, answer any) (int, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return 0, errors.Wrap(err, "encode request")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "make request")
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return 0, errors.Wrap(err, "post")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, errors.Errorf("%s: status %d", url, response.StatusCode)
	}
	if answer == nil {
		return response.StatusCode, nil
	}
	return response.StatusCode, readJSON(response.Body, answer)
}
