package upstream

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/ident"
)

// TestDecodeTokenAgreesWithEncodingJSON compares decodeToken with json.Unmarshal on
// intact and damaged lines: both return the same token, or both an error.
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
		start := rapid.IntRange(0, len(line)).Draw(t, "start")
		end := rapid.IntRange(start, min(len(line), start+2)).Draw(t, "end")
		inserted := rapid.SampledFrom([]string{"", "0", "-", " ", "\"", "}", "1.5", "99999999999999999999"}).Draw(t, "inserted")
		damaged := []byte(string(line[:start]) + inserted + string(line[end:]))
		var want Token
		wantErr := json.Unmarshal(damaged, &want)
		got, gotErr := decodeToken(damaged)
		if (gotErr == nil) != (wantErr == nil) || gotErr == nil && got != want {
			t.Fatalf("%q: got %+v and error %v, want %+v and error %v", damaged, got, gotErr, want, wantErr)
		}
	})
}
