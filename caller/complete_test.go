package caller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/answer"
	"github.com/hickoryhead/hickoryhead/metrics"
)

// answersCounted returns the lines of the metric of finished answers.
func answersCounted(set *metrics.Set) []string {
	recorder := httptest.NewRecorder()
	set.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	var lines []string
	for line := range strings.Lines(recorder.Body.String()) {
		if strings.HasPrefix(line, "hickoryhead_answers_total") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// TestUndecodableAnswerIsCountedOnce guards against an answer that is counted both
// as done and as cut.
func TestUndecodableAnswerIsCountedOnce(t *testing.T) {
	set, err := metrics.New("router")
	if err != nil {
		t.Fatal(err)
	}
	relay := newRelay()
	relay.incoming.route.Model = ""
	relay.server.Metrics = set
	recorder := httptest.NewRecorder()
	relay.server.writeComplete(recorder, relay, &answer.End{Status: http.StatusOK, Base64: true}, "not base64!")
	got := answersCounted(set)
	if recorder.Code != http.StatusBadGateway || len(got) != 1 || !strings.Contains(got[0], `"Failed"`) || !strings.HasSuffix(got[0], " 1") {
		t.Errorf("got status %d and counts %v, want 502 and one failed answer", recorder.Code, got)
	}
}
