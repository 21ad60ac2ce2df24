package upstream

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Any line, also a damaged one, gives the token or the error that encoding/json
// gives.
func TestDecodeTokenAgreesWithEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		token := Token{
			Index: ident.Tokens(rapid.Int().Draw(t, "index")),
			Text:  rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{"", " gondola", "\"", "\\", "<", "\u2028", "\xff", "\"}\n"})).Draw(t, "text"),
			Done:  rapid.IntRange(0, 4).Draw(t, "done") == 0,
		}
		line, err := json.Marshal(token)
		if err != nil {
			t.Fatal(err)
		}
		line = append(line, '\n')
		at := rapid.IntRange(0, len(line)).Draw(t, "at")
		until := rapid.IntRange(at, min(len(line), at+2)).Draw(t, "until")
		inserted := rapid.SampledFrom([]string{"", "0", "-", " ", "\"", "}", "1.5", "99999999999999999999"}).Draw(t, "inserted")
		damaged := []byte(string(line[:at]) + inserted + string(line[until:]))
		var want Token
		wantErr := json.Unmarshal(damaged, &want)
		got, gotErr := decodeToken(damaged)
		if (gotErr == nil) != (wantErr == nil) || gotErr == nil && got != want {
			t.Fatalf("%q: got %+v and %v, want %+v and %v", damaged, got, gotErr, want, wantErr)
		}
	})
}
