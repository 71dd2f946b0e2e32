package explain

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
)

const question = Path + "?client=100.64.0.1:1025&service=198.18.0.1:443"

func newEndpoint() (Questions[string], http.Handler) {
	q := NewQuestions[string]()
	return q, q.Endpoint("tester", func(e string) (int, string) {
		if e == "" {
			return http.StatusNotFound, "nothing is known"
		}
		return 0, ""
	}).Handler
}

func ask(handler http.Handler, target string) (int, string) {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, target, nil))
	return recorder.Code, strings.TrimSpace(recorder.Body.String())
}

// TestEndpointReturnsTheAnswerOfTheLoop guards against a question about another flow, and against answers that hide an
// error behind status 200.
func TestEndpointReturnsTheAnswerOfTheLoop(t *testing.T) {
	q, handler := newEndpoint()
	go func() {
		first := <-q
		first.Reply(first.Key.String())
		(<-q).Reply("")
	}()
	status, text := ask(handler, question)
	if status != http.StatusOK || !strings.Contains(text, `{"role":"tester","explanation":"100.64.0.1:1025`) || !strings.Contains(text, `198.18.0.1:443"}`) {
		t.Fatalf("got %d %s", status, text)
	}
	if status, text = ask(handler, question); status != http.StatusNotFound || text != "nothing is known" {
		t.Fatalf("got %d %s", status, text)
	}
	for _, target := range []string{Path, Path + "?client=100.64.0.1:1025", Path + "?client=[::1]:1025&service=198.18.0.1:443"} {
		if status, text = ask(handler, target); status != http.StatusBadRequest || !strings.Contains(text, "is not an IPv4 address and port") {
			t.Errorf("%s: got %d %s", target, status, text)
		}
	}
}

// TestEndpointDoesNotWaitForAStalledLoop guards against operators' requests that pile up at a stalled process, and
// against a loop that blocks on an answer that nobody waits for.
func TestEndpointDoesNotWaitForAStalledLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, handler := newEndpoint()
		for range maxQuestions + 2 {
			start := time.Now()
			if status, text := ask(handler, question); status != http.StatusServiceUnavailable || time.Since(start) != answerTimeout {
				t.Fatalf("got %d %s after %v", status, text, time.Since(start))
			}
		}
		for range maxQuestions {
			(<-q).Reply((flow.Key{}).String())
		}
		if len(q) != 0 {
			t.Fatalf("%d questions are left", len(q))
		}
	})
}
