package answer_test

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/answer"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/jsonline"
	"github.com/hickoryhead/hickoryhead/result"
)

// drawText draws texts with the characters that JSON treats specially and with
// bytes that are not valid UTF-8.
func drawText(t *rapid.T) string {
	special := rapid.SampledFrom([]string{"\"", "\\", "<", ">", "&", "\n", "\x00", "\x7f", "\u2028", "\u2029", "\ufffd", "\xff", "\xed\xa0\x80", "é", "🛒", "\"}\n", `,"Data":"`})
	part := rapid.OneOf(rapid.String(), special, rapid.Map(rapid.SliceOf(rapid.Byte()), func(raw []byte) string { return string(raw) }))
	text := ""
	for _, drawn := range rapid.SliceOfN(part, 0, 4).Draw(t, "text") {
		text += drawn
	}
	return text
}

func drawFrame(t *rapid.T) answer.Frame {
	frame := answer.Frame{Seq: answer.Seq(rapid.Uint64().Draw(t, "seq")), Data: drawText(t)}
	if rapid.IntRange(0, 9).Draw(t, "has end") == 0 {
		frame.End = &answer.End{Frames: rapid.Uint64().Draw(t, "frames"), ContentType: drawText(t), Cached: ident.Tokens(rapid.Int().Draw(t, "cached"))}
	}
	if rapid.IntRange(0, 9).Draw(t, "has problem") == 0 {
		frame.Problem = &result.Problem{Code: drawText(t), Detail: drawText(t)}
	}
	return frame
}

// AppendJSON must write the same bytes as json.Encoder, and DecodeFrame must
// read them as json.Unmarshal does.
func TestAppendJSONMatchesEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frame := drawFrame(t)
		var want bytes.Buffer
		if err := json.NewEncoder(&want).Encode(frame); err != nil {
			t.Fatal(err)
		}
		got, err := frame.AppendJSON([]byte("before"))
		if err != nil || string(got) != "before"+want.String() {
			t.Fatalf("got line %q and error %v, want %q", got, err, want.String())
		}
		checkDecode(t, want.Bytes())
	})
}

func TestAppendStringMatchesEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawText(t)
		want, err := json.Marshal(text)
		if err != nil {
			t.Fatal(err)
		}
		if got := jsonline.AppendString(nil, text); string(got) != string(want) {
			t.Fatalf("got %s, want %s", got, want)
		}
	})
}

// A line with a few bytes replaced must give the frame or the error that
// encoding/json gives.
func TestDecodeFrameMatchesUnmarshalOnDamagedLines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line, err := drawFrame(t).AppendJSON(nil)
		if err != nil {
			t.Fatal(err)
		}
		from := rapid.IntRange(0, len(line)).Draw(t, "from")
		until := rapid.IntRange(from, min(len(line), from+3)).Draw(t, "until")
		inserted := rapid.SampledFrom([]string{"", "0", "-", "+", "_", " ", "\"", "}", "\n", "1.5", "e9", `"}` + "\n", "x"}).Draw(t, "inserted")
		damaged := string(line[:from]) + inserted + string(line[until:])
		checkDecode(t, []byte(damaged))
	})
}

func TestDecodeFrameMatchesUnmarshalOnEdgeCases(t *testing.T) {
	for _, line := range []string{
		`{"Seq":1,"Data":"a"}` + "\n", `{"Seq":01,"Data":"a"}` + "\n", `{"Seq":0,"Data":"a"}` + "\n",
		`{"Seq":+1,"Data":"a"}` + "\n", `{"Seq":1_0,"Data":"a"}` + "\n", `{"Seq":,"Data":"a"}` + "\n",
		`{"Seq":18446744073709551616,"Data":"a"}` + "\n", `{"Seq":1,"Data":"a","Data":"b"}` + "\n",
		`{"Seq":1,"Data":"a"}`, `{"Seq":1,"Data":"a"} ` + "\n", `{"Seq":1,"Data":"a\"}` + "\n", ``, "\n",
	} {
		checkDecode(t, []byte(line))
	}
}

// checkDecode fails the test if DecodeFrame and json.Unmarshal disagree on
// line.
func checkDecode(t rapid.TB, line []byte) {
	var want answer.Frame
	wantErr := json.Unmarshal(line, &want)
	got, err := answer.DecodeFrame(line)
	if (err == nil) != (wantErr == nil) || !reflect.DeepEqual(got, want) {
		t.Fatalf("line %q: got frame %+v and error %v, want %+v and %v", line, got, err, want, wantErr)
	}
}

var benchFrame = answer.Frame{Seq: 431, Data: " gondola"}

func BenchmarkAppendJSON(b *testing.B) {
	var line []byte
	for b.Loop() {
		line, _ = benchFrame.AppendJSON(line[:0])
	}
}

func BenchmarkDecodeFrame(b *testing.B) {
	line, err := benchFrame.AppendJSON(nil)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		_, _ = answer.DecodeFrame(line)
	}
}

func BenchmarkAssembler(b *testing.B) {
	var assembler answer.Assembler
	frame := benchFrame
	frame.Seq = 0
	for b.Loop() {
		frame.Seq++
		if _, err := assembler.Add(frame); err != nil {
			b.Fatal(err)
		}
	}
}
