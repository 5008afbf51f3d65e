package camerge

import (
	"fmt"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/google/go-cmp/cmp"
)

// formatNode formats a node in one line.
func formatNode(n Node) string {
	var parts []string
	switch n.Kind {
	case KindObject:
		for _, m := range n.Members {
			parts = append(parts, m.Name+":"+formatNode(m.Value))
		}
		return "{" + strings.Join(parts, " ") + "}"
	case KindArray:
		for _, e := range n.Elements {
			parts = append(parts, formatNode(e))
		}
		return "[" + strings.Join(parts, " ") + "]"
	case KindNull:
		return "null"
	}
	return n.Text
}

func folderOf(files ...string) fstest.MapFS {
	f := fstest.MapFS{}
	for i, content := range files {
		f[fmt.Sprintf("%d0.jsonc", i+1)] = &fstest.MapFile{Data: []byte(content)}
	}
	return f
}

func TestFolderMerges(t *testing.T) {
	tests := []struct {
		name  string
		files []string
		want  string
	}{
		{"scalar replaced", []string{`{"a": 1}`, `{"a": "x"}`}, "{a:x}"},
		{"objects merged", []string{`{"a": {"x": 1, "y": 2}}`, `{"a": {"y": 3, "z": 4}}`}, "{a:{x:1 y:3 z:4}}"},
		{"list replaced", []string{`{"a": [1, 2]}`, `{"a": [3]}`}, "{a:[3]}"},
		{"null removes", []string{`{"a": {"x": 1, "y": 2}, "b": 1}`, `{"a": {"x": null}, "b": null}`}, "{a:{y:2}}"},
		{"null for absent members", []string{`{"a": {"x": null}, "b": null}`}, "{a:{}}"},
		{"removed, then set again", []string{`{"a": {"x": 1}}`, `{"a": null}`, `{"a": {"y": 2}}`}, "{a:{y:2}}"},
		{"scalar replaced by object", []string{`{"a": 1}`, `{"a": {"x": null, "y": 1}}`}, "{a:{y:1}}"},
		{"comments and trailing commas", []string{"{ // one\n \"a\": /* two */ [true, null,], }"}, "{a:[true null]}"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n, problems := Folder(folderOf(test.files...))
			if len(problems) > 0 {
				t.Fatal(problems)
			}
			if diff := cmp.Diff(test.want, formatNode(n)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestFolderMergesFilesInNameOrder(t *testing.T) {
	n, problems := Folder(fstest.MapFS{
		"20-b.json":     {Data: []byte(`{"a": 2}`)},
		"10-a.jsonc":    {Data: []byte(`{"a": 1}`)},
		".30-c.json":    {Data: []byte(`{"a": 3}`)},
		"40-d.json~":    {Data: []byte(`not read`)},
		"50/e.json":     {Data: []byte(`{"a": 5}`)},
		"README.md":     {Data: []byte(`not read`)},
		"15-empty.json": {Data: []byte(`{}`)},
	})
	if diff := cmp.Diff("{a:2}", formatNode(n)); diff != "" || len(problems) > 0 {
		t.Error(diff, problems)
	}
	if diff := cmp.Diff("20-b.json:1:7", n.Members[0].Value.Position.String()); diff != "" {
		t.Error(diff)
	}
}

func TestFolderProblems(t *testing.T) {
	deep := strings.Repeat(`[`, maxDepth+1)
	tests := []struct {
		name  string
		files []string
		want  string
	}{
		{"no files", nil, "the folder has no file that ends in .json or .jsonc"},
		{"empty file", []string{""}, "10.jsonc:1:1: parsing value: unexpected EOF"},
		{"truncated", []string{"{\n\"a\": [1,\n"}, "10.jsonc:3:1: parsing value: unexpected EOF"},
		{"invalid literal", []string{"{\n  \"a\": x}"}, "10.jsonc:2:8: invalid literal: x"},
		{"two values", []string{"{} {}"}, "10.jsonc:1:4: invalid character '{' after top-level value"},
		{"not an object", []string{"[1]"}, "10.jsonc:1:1: the file must contain an object, not array"},
		{"name twice in one file", []string{`{}`, "{\"t\": {\n \"x\": 1,\n \"y\": 2,\n \"x\": 3}}"}, "20.jsonc:4:2: t.x: appears twice in this file, first on line 2"},
		{"too deep", []string{"{\"a\":\n" + deep}, "10.jsonc:2:32: nested deeper than 32 levels"},
		{"too large", []string{strings.Repeat(" ", MaxFileSize+1)}, "10.jsonc: file is larger than 1048576 bytes"},
		{"problems of all files", []string{"x", "{}", "["}, "10.jsonc:1:1: invalid literal: x\n30.jsonc:1:2: parsing value: unexpected EOF"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, problems := Folder(folderOf(test.files...))
			if diff := cmp.Diff(test.want, problems.Error()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// FuzzParse checks that no input makes Parse panic, that the position of each
// problem is inside the file, and that merging an accepted file twice gives the
// same result as merging it once.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		`{}`, `{"a": {"b": [1, "x", null, true]}}`, "{ // c\n}", `{"a":1,"a":2}`, `[[[[`, "/*", "\"\\", "{\"\xff\":1}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		n, problems := Parse("f", data)
		lineCount := strings.Count(string(data), "\n") + 1
		for _, p := range problems {
			if p.At.Line > lineCount || p.Reason == "" {
				t.Fatalf("problem at %s in a file of %d lines, reason %q", p.At, lineCount, p.Reason)
			}
		}
		if len(problems) > 0 {
			return
		}
		once := Merge(Node{Kind: KindObject}, n)
		if diff := cmp.Diff(formatNode(once), formatNode(Merge(once, n))); diff != "" {
			t.Fatal(diff)
		}
	})
}
