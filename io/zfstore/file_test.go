package zfstore_test

import (
	"os"
	"path/filepath"
	"testing"

	"zinniafront/io/zfstore"
	"zinniafront/lab/zfassert"
)

func openFolder(t *testing.T, path string) *zfstore.Folder {
	t.Helper()
	folder, err := zfstore.Open(path)
	zfassert.NoError(t, err)
	t.Cleanup(func() { _ = folder.Close() })
	return folder
}

func assertDocument(t *testing.T, file *zfstore.File, want string) {
	t.Helper()
	document, err := file.Load()
	zfassert.NoError(t, err)
	zfassert.Equal(t, "document", string(document), want)
}

func TestFile(t *testing.T) {
	t.Run("load before the first save", func(t *testing.T) {
		document, err := openFolder(t, t.TempDir()).File("state").Load()
		zfassert.NoError(t, err)
		zfassert.True(t, "no document", document == nil)
	})
	t.Run("a save replaces the document", func(t *testing.T) {
		file := openFolder(t, t.TempDir()).File("state")
		zfassert.NoError(t, file.Save([]byte("one")))
		assertDocument(t, file, "one")
		zfassert.NoError(t, file.Save([]byte("two")))
		assertDocument(t, file, "two")
	})
	t.Run("an interrupted save leaves the earlier document", func(t *testing.T) {
		path := t.TempDir()
		file := openFolder(t, path).File("state")
		zfassert.NoError(t, file.Save([]byte("one")))
		zfassert.NoError(t, os.WriteFile(filepath.Join(path, "state.new"), []byte("zinnia"), 0o600))
		assertDocument(t, file, "one")
	})
	t.Run("a save succeeds after saves that failed", func(t *testing.T) {
		path := t.TempDir()
		file := openFolder(t, path).File("state")
		zfassert.NoError(t, file.Save([]byte("one")))
		temp := filepath.Join(path, "state.new")
		zfassert.NoError(t, os.Mkdir(temp, 0o700)) // The temporary file can't be created.
		for range 3 {
			zfassert.True(t, "the save fails", file.Save([]byte("two")) != nil)
		}
		assertDocument(t, file, "one")
		zfassert.NoError(t, os.Remove(temp))
		zfassert.NoError(t, os.WriteFile(temp, []byte("zinnia"), 0o600)) // A write that failed midway.
		zfassert.NoError(t, file.Save([]byte("three")))
		assertDocument(t, file, "three")
	})
	t.Run("corruption of any byte is refused", func(t *testing.T) {
		path := t.TempDir()
		file := openFolder(t, path).File("state")
		zfassert.NoError(t, file.Save([]byte("one")))
		text, err := os.ReadFile(filepath.Join(path, "state"))
		zfassert.NoError(t, err)
		for i := range text {
			corrupt := append([]byte(nil), text...)
			corrupt[i] ^= 1
			zfassert.NoError(t, os.WriteFile(filepath.Join(path, "state"), corrupt, 0o600))
			_, err := file.Load()
			zfassert.ErrorIs(t, err, zfstore.ErrCorrupt)
		}
	})
	t.Run("a second process is refused", func(t *testing.T) {
		path := t.TempDir()
		openFolder(t, path)
		_, err := zfstore.Open(path)
		zfassert.ErrorIs(t, err, zfstore.ErrInUse)
	})
}
