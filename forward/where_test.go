package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// whereTo returns where the router would send a request for path.
func (router *router) whereTo(path string, headers map[string]string) (upstream, code, reason string) {
	request := httptest.NewRequest(http.MethodPost, path, nil)
	request.Host = "a.example"
	request.Header.Set("Authorization", "Token key-1")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	placement := router.handler.Where(request, nil)
	return string(placement.Upstream), placement.Code, placement.Reason
}

// TestWhereIsWhereTheRequestGoes guards against an answer that is not that of the choice
// itself, and against one that sends or changes something.
func TestWhereIsWhereTheRequestGoes(t *testing.T) {
	oneEvent := func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		write(conn, fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))+chunk(eventOne)+"0\r\n\r\n")
		return true
	}
	upstreams := []*fakeUpstream{startUpstream(t, oneEvent), startUpstream(t, oneEvent), startUpstream(t, oneEvent)}
	router := startRouter(t, upstreams...)
	for n := range 10 {
		prompt := fmt.Sprintf("house-%d:400,own:100", n)
		headers := map[string]string{"Hickoryhead-Prompt-Prefix": prompt}
		for _, reason := range []string{"home", "holder"} {
			before := runs(upstreams)
			want, code, gotReason := router.whereTo("/stream/", headers)
			if again, _, _ := router.whereTo("/stream/", headers); code != "OK" || again != want || gotReason != reason || runs(upstreams) != before {
				t.Fatalf("prompt %d: got %s and %s (%s, %s) and %d requests sent, want one upstream, OK, %s and none", n, want, again, code, gotReason, runs(upstreams)-before, reason)
			}
			router.send(t, fmt.Sprint("a", n, reason), "POST", "/stream/", "", "Hickoryhead-Prompt-Prefix", prompt).check(t, 200, eventOne)
			for i, upstream := range upstreams {
				served := 0
				for _, request := range upstream.requestsSoFar() {
					if request.header.Get("Hickoryhead-Attempt-Id") == fmt.Sprint("a", n, reason) {
						served++
					}
				}
				if is := fmt.Sprint("i-", i) == want; is != (served > 0) {
					t.Errorf("prompt %d: upstream %d served %d requests, want the request at %s", n, i, served, want)
				}
			}
		}
	}
}

// TestWhereOfARefusedRequest guards against a place for a request that gets none.
func TestWhereOfARefusedRequest(t *testing.T) {
	router := startRouter(t, startUpstream(t, echo))
	for _, test := range []struct {
		path, key, want string
	}{
		{"/nowhere/", "key-1", "UnknownRoute"},
		{"/stream/", "key-2", "UnknownKey"},
	} {
		upstream, code, _ := router.whereTo(test.path, map[string]string{"Authorization": "Token " + test.key})
		if upstream != "" || code != test.want {
			t.Errorf("%s with %s: got upstream %q and code %s, want none and %s", test.path, test.key, upstream, code, test.want)
		}
	}
	empty := startRouter(t)
	if upstream, code, _ := empty.whereTo("/stream/", nil); upstream != "" || code != "NoUpstream" {
		t.Errorf("got upstream %q and code %s without upstreams, want none and NoUpstream", upstream, code)
	}
}
