// Package service is a stand-in for a plain records service: records that may be
// read at any time and sign-offs that may not be posted twice. It counts every
// sign-off that it runs.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
)

// Paths of the service.
const (
	PathRecords  = "/records"
	PathSignoffs = "/signoffs"
)

// RequestIDHeader carries the request ID under which sign-offs are counted.
const RequestIDHeader = "Egretreach-Request-Id"

const maxBodyBytes = 4 << 20

// Failure is what goes wrong with sign-offs.
type Failure string

// The failures.
const (
	FailureNone Failure = ""
	// FailureHang takes a sign-off and answers only when Release is called.
	FailureHang Failure = "hang"
	// FailureDropBefore drops the connection before the sign-off runs.
	FailureDropBefore Failure = "drop_before"
	// FailureDropAfter drops the connection after the sign-off has run.
	FailureDropAfter Failure = "drop_after"
)

// Service counts sign-offs. Use New.
type Service struct {
	mu       sync.Mutex
	failure  Failure
	released chan struct{}
	dropped  chan struct{}
	total    int
	byBody   map[string]int
	byID     map[string]int
}

// Counts are the sign-offs that have run.
type Counts struct {
	Total     int            `json:"total"`
	ByBody    map[string]int `json:"by_body"`
	ByRequest map[string]int `json:"by_request"`
}

// New returns a service that has run nothing.
func New() *Service {
	return &Service{byBody: map[string]int{}, byID: map[string]int{}, released: make(chan struct{}), dropped: make(chan struct{})}
}

// Handler serves the records and the sign-offs.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathRecords, s.records)
	mux.HandleFunc("POST "+PathSignoffs, s.sign)
	mux.HandleFunc("GET "+PathSignoffs, s.signoffs)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	return mux
}

// SetFailure sets what goes wrong from now on.
func (s *Service) SetFailure(f Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = f
}

// ReleaseHanging lets hanging sign-offs go on.
func (s *Service) ReleaseHanging() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.released)
	s.released = make(chan struct{})
}

// DropHanging drops the connections of hanging sign-offs, which have run.
func (s *Service) DropHanging() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.dropped)
	s.dropped = make(chan struct{})
}

// Counts returns the sign-offs that have run.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counts{Total: s.total, ByBody: map[string]int{}, ByRequest: map[string]int{}}
	for k, n := range s.byBody {
		c.ByBody[k] = n
	}
	for k, n := range s.byID {
		c.ByRequest[k] = n
	}
	return c
}

func (s *Service) records(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, map[string]any{"records": []string{"bay-4", "camping-badge"}, "signoffs": s.Counts().Total})
}

func (s *Service) signoffs(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, s.Counts())
}

func (s *Service) sign(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	failure, released, dropped := s.failure, s.released, s.dropped
	s.mu.Unlock()
	if failure == FailureDropBefore {
		panic(http.ErrAbortHandler)
	}
	number := s.count(string(body), r.Header.Get(RequestIDHeader))
	switch failure {
	case FailureNone, FailureDropBefore:
	case FailureDropAfter:
		panic(http.ErrAbortHandler)
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
	answer(w, http.StatusCreated, map[string]int{"signoff": number})
}

func (s *Service) count(body, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.byBody[body]++
	s.byID[id]++
	return s.total
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
