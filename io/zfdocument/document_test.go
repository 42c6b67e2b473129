package zfdocument_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/pkg/errors"

	"zinniafront/io/zfdocument"
	"zinniafront/lab/zfassert"
)

// parse parses one document of a kind and returns the message that a user sees.
func parse(kind, text string) string {
	var err error
	switch kind {
	case "bundle":
		_, err = zfdocument.ParseBundle([]byte(text))
	case "settings":
		_, err = zfdocument.ParseSettings([]byte(text), "/")
	default:
		_, err = zfdocument.ParseAnnouncement([]byte(text))
	}
	if err != nil {
		return err.Error() + "\n"
	}
	return "valid\n"
}

func TestDocuments(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			return parse(d.Cmd, d.Input)
		})
	})
}

// TestForeignBytes guards against a document whose bytes that are not UTF-8 are replaced in silence.
func TestForeignBytes(t *testing.T) {
	for _, kind := range []string{"bundle", "settings", "announcement"} {
		t.Run(kind, func(t *testing.T) {
			zfassert.Contains(t, parse(kind, "{\"name\": \"\xff\"}"), "not UTF-8")
		})
	}
}

func TestExamples(t *testing.T) {
	for _, name := range []string{"collarcraft", "derwent"} {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("..", "..", "examples", name+".json"))
			zfassert.NoError(t, err)
			bundle, err := zfdocument.ParseBundle(text)
			zfassert.NoError(t, err)
			zfassert.Equal(t, "name", bundle.Name, name)
		})
	}
	paths, err := filepath.Glob(filepath.Join("..", "..", "examples", "settings", "*.json"))
	zfassert.NoError(t, err)
	zfassert.True(t, "settings", len(paths) >= 3)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			text, err := os.ReadFile(path)
			zfassert.NoError(t, err)
			_, err = zfdocument.ParseSettings(text, filepath.Dir(path))
			zfassert.NoError(t, err)
		})
	}
}

// fuzzParser checks that a parser returns no error but *zfdocument.Error.
func fuzzParser(f *testing.F, parse func([]byte) error) {
	f.Add([]byte(`{"format":1}`))
	f.Add([]byte(`{"format":1,"format":1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var documentError *zfdocument.Error
		if err := parse(text); err != nil && !errors.As(err, &documentError) {
			t.Fatalf("error is not a *zfdocument.Error: %v", err)
		}
	})
}

func FuzzBundle(f *testing.F) {
	text, _ := os.ReadFile(filepath.Join("..", "..", "examples", "collarcraft.json"))
	f.Add(text)
	fuzzParser(f, func(text []byte) error {
		_, err := zfdocument.ParseBundle(text)
		return err
	})
}

func FuzzSettings(f *testing.F) {
	fuzzParser(f, func(text []byte) error {
		_, err := zfdocument.ParseSettings(text, "/")
		return err
	})
}

func FuzzAnnouncement(f *testing.F) {
	fuzzParser(f, func(text []byte) error {
		_, err := zfdocument.ParseAnnouncement(text)
		return err
	})
}
