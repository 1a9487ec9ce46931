package httpstatus

import "net/http"

// Transport is an http.RoundTripper that returns ErrInvalid in place of a response with an invalid status, and closes that response. Next
// must not be nil.
type Transport struct{ Next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckFinal(response.StatusCode); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
