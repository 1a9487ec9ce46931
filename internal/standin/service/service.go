// Package service is a stand-in for a plain records service, with records that may be read any
// number of times and sign-offs that must not be posted twice. It counts the sign-offs that
// it runs.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
)

// Paths of the service's HTTP API.
const (
	PathRecords  = "/records"
	PathSignoffs = "/signoffs"
)

// RequestIDHeader carries the request ID under which sign-offs are counted.
const RequestIDHeader = "Egretreach-Request-Id"

const maxBodyBytes = 4 << 20

// Failure is a failure injected into sign-offs.
type Failure string

// The failures that can be injected.
const (
	FailureNone Failure = ""
	// FailureHang runs a sign-off and delays its response until ReleaseHanging or
	// DropHanging.
	FailureHang Failure = "hang"
	// FailureDropBefore drops the connection before the sign-off runs.
	FailureDropBefore Failure = "drop_before"
	// FailureDropAfter drops the connection after the sign-off has run.
	FailureDropAfter Failure = "drop_after"
	// FailureInvalidStatus runs a sign-off and responds with the status 000.
	FailureInvalidStatus Failure = "invalid_status"
)

// Service is the records service. Create it with New.
type Service struct {
	mu        sync.Mutex
	failure   Failure
	released  chan struct{}
	dropped   chan struct{}
	total     int
	byBody    map[string]int
	byRequest map[string]int
}

// Counts holds the number of sign-offs that have run: in total, by request body and by
// request ID.
type Counts struct {
	Total     int            `json:"total"`
	ByBody    map[string]int `json:"by_body"`
	ByRequest map[string]int `json:"by_request"`
}

// New returns a service that has run no sign-offs yet.
func New() *Service {
	return &Service{byBody: map[string]int{}, byRequest: map[string]int{}, released: make(chan struct{}), dropped: make(chan struct{})}
}

// Handler returns the handler of the HTTP API.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathRecords, s.getRecords)
	mux.HandleFunc("POST "+PathSignoffs, s.postSignoff)
	mux.HandleFunc("GET "+PathSignoffs, s.getSignoffs)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	return mux
}

// SetFailure sets the failure of all later sign-offs.
func (s *Service) SetFailure(f Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = f
}

// ReleaseHanging lets the hanging sign-offs respond.
func (s *Service) ReleaseHanging() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.released)
	s.released = make(chan struct{})
}

// DropHanging drops the connections of the hanging sign-offs, which have already run.
func (s *Service) DropHanging() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.dropped)
	s.dropped = make(chan struct{})
}

// Counts returns a copy of the counts of sign-offs that have run.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counts{Total: s.total, ByBody: map[string]int{}, ByRequest: map[string]int{}}
	for k, n := range s.byBody {
		c.ByBody[k] = n
	}
	for k, n := range s.byRequest {
		c.ByRequest[k] = n
	}
	return c
}

func (s *Service) getRecords(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]any{"records": []string{"bay-4", "camping-badge"}, "signoffs": s.Counts().Total})
}

func (s *Service) getSignoffs(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}

func (s *Service) postSignoff(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	failure, released, dropped := s.failure, s.released, s.dropped
	s.mu.Unlock()
	if failure == FailureDropBefore {
		panic(http.ErrAbortHandler)
	}
	number := s.recordSignoff(string(body), r.Header.Get(RequestIDHeader))
	switch failure {
	case FailureNone, FailureDropBefore:
	case FailureDropAfter:
		panic(http.ErrAbortHandler)
	case FailureInvalidStatus:
		writeInvalidStatus(w)
		return
	case FailureHang:
		select {
		case <-released:
		case <-dropped:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Location", PathSignoffs+"/"+strconv.Itoa(number))
	writeJSON(w, http.StatusCreated, map[string]int{"signoff": number})
}

func (s *Service) recordSignoff(body, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.byBody[body]++
	s.byRequest[id]++
	return s.total
}

// writeInvalidStatus responds with the status 000, which net/http refuses to write.
func writeInvalidStatus(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "HTTP/1.1 000\r\nContent-Length: 2\r\n\r\nok")
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
