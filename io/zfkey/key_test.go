package zfkey_test

import (
	"os"
	"path/filepath"
	"testing"

	"zinniafront/io/zfkey"
	"zinniafront/lab/zfassert"
)

func newSigningKey(t *testing.T) (private, public string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ops.key")
	_, err := zfkey.GenerateSigningKey(path)
	zfassert.NoError(t, err)
	return path, path + ".pub"
}

func newSharedKey(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "shared.key")
	_, err := zfkey.GenerateSharedKey(path)
	zfassert.NoError(t, err)
	return path
}

func TestSign(t *testing.T) {
	private, public := newSigningKey(t)
	key, err := zfkey.ReadSigningKey(private)
	zfassert.NoError(t, err)
	trusted, err := zfkey.ReadTrustedKeys([]string{public})
	zfassert.NoError(t, err)
	signed, err := key.Sign([]byte("text"))
	zfassert.NoError(t, err)
	t.Run("verified", func(t *testing.T) {
		document, err := trusted.Verify(signed)
		zfassert.NoError(t, err)
		zfassert.Equal(t, "document", string(document), "text")
	})
	t.Run("another key is not trusted", func(t *testing.T) {
		_, other := newSigningKey(t)
		otherKeys, err := zfkey.ReadTrustedKeys([]string{other})
		zfassert.NoError(t, err)
		_, err = otherKeys.Verify(signed)
		zfassert.ErrorIs(t, err, zfkey.ErrSignature)
	})
	t.Run("a change of any byte is refused", func(t *testing.T) {
		for i := range signed {
			altered := append([]byte(nil), signed...)
			altered[i] ^= 0x10
			_, err := trusted.Verify(altered)
			zfassert.ErrorIs(t, err, zfkey.ErrSignature)
		}
	})
	t.Run("a signature by a shared key is refused", func(t *testing.T) {
		shared, err := zfkey.ReadSharedKey(newSharedKey(t))
		zfassert.NoError(t, err)
		mac, err := shared.Sign([]byte("text"))
		zfassert.NoError(t, err)
		_, err = trusted.Verify(mac)
		zfassert.ErrorIs(t, err, zfkey.ErrSignature)
	})
}

func TestFiles(t *testing.T) {
	t.Run("a private key that others can read is refused", func(t *testing.T) {
		private, _ := newSigningKey(t)
		zfassert.NoError(t, os.Chmod(private, 0o640))
		_, err := zfkey.ReadSigningKey(private)
		zfassert.ErrorIs(t, err, zfkey.ErrFileMode)
	})
	t.Run("an existing file is kept", func(t *testing.T) {
		private, _ := newSigningKey(t)
		_, err := zfkey.GenerateSigningKey(private)
		zfassert.ErrorIs(t, err, zfkey.ErrExists)
	})
	t.Run("a key of another type is refused", func(t *testing.T) {
		_, err := zfkey.ReadSigningKey(newSharedKey(t))
		zfassert.ErrorIs(t, err, zfkey.ErrKeyKind)
		private, _ := newSigningKey(t)
		_, err = zfkey.ReadSharedKey(private)
		zfassert.ErrorIs(t, err, zfkey.ErrKeyKind)
	})
	t.Run("a file without a key is refused", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "key")
		zfassert.NoError(t, os.WriteFile(path, []byte("{}"), 0o600))
		_, err := zfkey.ReadSigningKey(path)
		zfassert.ErrorIs(t, err, zfkey.ErrFormat)
	})
}
