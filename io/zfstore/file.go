// Package zfstore stores documents durably in a data folder.
package zfstore

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// The errors of the package.
var (
	ErrCorrupt = errors.New("file is corrupt")
	ErrInUse   = errors.New("data folder is in use by another process")
)

const (
	folderMode fs.FileMode = 0o700
	fileMode   fs.FileMode = 0o600
	// header starts the first line of a file: the name and version of the format.
	// The checksum of the document follows it.
	header = "zinniafront-state 1 "
)

// Folder is a data folder that this process has locked.
type Folder struct {
	path string
	lock *os.File
}

// Open locks a data folder, which it creates if there is none. It returns ErrInUse
// if another process holds the lock.
func Open(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open lock file of data folder")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, errors.Wrap(ErrInUse, path)
	}
	return &Folder{
		path: path,
		lock: lock,
	}, nil
}

// Close releases the lock on the folder.
func (f *Folder) Close() error { return errors.Wrap(f.lock.Close(), "close lock file of data folder") }

// File is one document in a folder; it implements zinniafront.Store.
type File struct {
	folder *Folder
	name   string
}

// File returns the document with a name.
func (f *Folder) File(name string) *File {
	return &File{
		folder: f,
		name:   name,
	}
}

func (f *File) path() string { return filepath.Join(f.folder.path, f.name) }

// Load implements zinniafront.Store. For a corrupt file it returns ErrCorrupt with the
// path and the offset of the invalid part, the header or the document.
func (f *File) Load() ([]byte, error) {
	text, err := os.ReadFile(f.path())
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read state file")
	}
	line, document, complete := bytes.Cut(text, []byte{'\n'})
	sum, hasHeader := bytes.CutPrefix(line, []byte(header))
	if !complete || !hasHeader {
		return nil, errors.Wrapf(ErrCorrupt, "%s: offset 0: no valid header", f.path())
	}
	if string(sum) != checksum(document) {
		return nil, errors.Wrapf(ErrCorrupt, "%s: offset %d: checksum mismatch", f.path(), len(line)+1)
	}
	return document, nil
}

func checksum(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}

// Save implements zinniafront.Store. It syncs the document to a temporary file,
// which then replaces the earlier one atomically.
func (f *File) Save(document []byte) error {
	tempPath := f.path() + ".new"
	file, err := os.OpenFile(tempPath, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return errors.Wrap(err, "write state")
	}
	text := append([]byte(header+checksum(document)+"\n"), document...)
	if _, err := file.Write(text); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "write state")
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "sync state")
	}
	if err := file.Close(); err != nil {
		return errors.Wrap(err, "close state")
	}
	if err := os.Rename(tempPath, f.path()); err != nil {
		return errors.Wrap(err, "replace state")
	}
	return syncFolder(f.folder.path)
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	defer folder.Close()
	return errors.Wrap(folder.Sync(), "sync data folder")
}
