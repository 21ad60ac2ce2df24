package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestWherePrintsThePlacement guards against a request that is described to the router in
// another way than on the command line, and against candidates that are left out.
func TestWherePrintsThePlacement(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		query := request.URL.Query()
		if query.Get("host") != "a.example" || query.Get("target") != "/x?y=1" || request.Header.Get("Hickoryhead-Prompt-Prefix") != "a:400,b:100" {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = writer.Write([]byte(`{"Code":"OK","Route":"r","Service":"s","Upstream":"i-1","Reason":"holder","ExpectedMs":42,"Candidates":[{"Upstream":"i-1","Cached":true,"Healthy":true},{"Upstream":"i-2","AtBound":true}]}`))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	var out, errOut bytes.Buffer
	status := run([]string{"where", "--router", address, "--host", "a.example", "--header", "Hickoryhead-Prompt-Prefix: a:400,b:100", "/x?y=1"}, &out, &errOut)
	for _, want := range []string{"upstream i-1, chosen as holder among 2 of service s (route r)", "after 42 ms", "chosen, has the prefix cached", "not healthy, at the load bound"} {
		if status != 0 || !strings.Contains(out.String(), want) {
			t.Errorf("got status %d, output %q and error %q, want it to hold %q", status, out.String(), errOut.String(), want)
		}
	}
	if status := run([]string{"where", "--router", address, "--header", "no header", "/x"}, &out, &errOut); status != 2 {
		t.Errorf("got status %d for a malformed header, want 2", status)
	}
	if status := run([]string{"where", "--router", address, "/x"}, &out, &errOut); status != 1 {
		t.Errorf("got status %d for a request that the router refuses, want 1", status)
	}
}

// TestWherePrintsExcludedUpstreams guards against an upstream that can't get the request and is
// left out, or printed without its reason, and against tried upstreams that are not passed on.
func TestWherePrintsExcludedUpstreams(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if got := strings.Join(request.URL.Query()["tried"], " "); got != "i-1 i-2" {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = writer.Write([]byte(`{"Code":"OK","Route":"r","Service":"s","Upstream":"i-3","Reason":"home","Candidates":[{"Upstream":"i-1","Excluded":["tried","ejected"]},{"Upstream":"i-3","Healthy":true}],"OutOfPool":[{"Upstream":"i-4","Excluded":["evacuated zone"]}]}`))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	var out, errOut bytes.Buffer
	status := run([]string{"where", "--router", address, "--host", "a.example", "--tried", "i-1", "--tried", "i-2", "/x"}, &out, &errOut)
	for _, want := range []string{"among 2 of service s", "excluded: tried, ejected\n", "excluded: evacuated zone\n"} {
		if status != 0 || !strings.Contains(out.String(), want) {
			t.Errorf("got status %d, output %q and error %q, want it to hold %q", status, out.String(), errOut.String(), want)
		}
	}
	if strings.Contains(out.String(), "not healthy") {
		t.Errorf("got output %q, want the reason alone of an ejected upstream", out.String())
	}
}
