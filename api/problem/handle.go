package problem

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// Handle returns a handler that answers with the result as JSON, or with a
// problem document.
func Handle(f func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		out, err := f(r)
		if err != nil {
			Write(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	}
}

// Decode reads the JSON body of a request into out; unknown members and
// trailing data are refused.
func Decode(r *http.Request, out any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return bodyError(err)
	}
	if err := dec.Decode(&struct{}{}); !errors.Is(err, io.EOF) {
		return New(BadRequest, http.StatusBadRequest, "data after the JSON body")
	}
	return nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return err
	}
	return New(BadRequest, http.StatusBadRequest, "JSON body: %v", err)
}
