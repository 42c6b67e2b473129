// Package zfkey stores keys in files as JSON Web Keys (RFC 7517), and signs and
// verifies documents with JSON Web Signatures (RFC 7515).
package zfkey

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io/fs"
	"os"

	"github.com/go-jose/go-jose/v4"
	"github.com/pkg/errors"
)

// The errors of the package.
var (
	ErrFileMode  = errors.New("key file is accessible to other users; its mode must be 0600")
	ErrFormat    = errors.New("not a valid JSON Web Key file")
	ErrKeyKind   = errors.New("wrong type of key; a signing or trusted key is an Ed25519 key, a shared key has at least 32 bytes")
	ErrExists    = errors.New("file exists")
	ErrSignature = errors.New("no trusted key made the signature")
)

const (
	secretFileMode fs.FileMode = 0o600
	publicFileMode fs.FileMode = 0o644
	sharedKeyBytes             = 32
)

// SigningKey is an operator's private key.
type SigningKey struct {
	jwk jose.JSONWebKey
}

// TrustedKeys are the public keys of operators.
type TrustedKeys struct {
	keys []jose.JSONWebKey
}

// SharedKey is a symmetric HMAC key: the key that all instances of the entry role share,
// or the key that they share with the backend servers.
type SharedKey []byte

// GenerateSigningKey generates a key pair. It writes the private key to path and
// the public key to path with ".pub" appended, and never overwrites a file.
func GenerateSigningKey(path string) (id string, err error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", errors.Wrap(err, "generate key")
	}
	sum := sha256.Sum256(public)
	id = hex.EncodeToString(sum[:8])
	if err := writeKey(path, secretFileMode, jose.JSONWebKey{
		Key:       private,
		KeyID:     id,
		Algorithm: string(jose.EdDSA),
		Use:       "sig",
	}); err != nil {
		return "", err
	}
	return id, writeKey(path+".pub", publicFileMode, jose.JSONWebKey{
		Key:       public,
		KeyID:     id,
		Algorithm: string(jose.EdDSA),
		Use:       "sig",
	})
}

// GenerateSharedKey generates a shared key and writes it to path. It never
// overwrites a file.
func GenerateSharedKey(path string) (id string, err error) {
	secret := make([]byte, sharedKeyBytes)
	if _, err := rand.Read(secret); err != nil {
		return "", errors.Wrap(err, "generate key")
	}
	sum := sha256.Sum256(secret)
	id = hex.EncodeToString(sum[:8])
	return id, writeKey(path, secretFileMode, jose.JSONWebKey{
		Key:       secret,
		KeyID:     id,
		Algorithm: string(jose.HS256),
		Use:       "sig",
	})
}

func writeKey(path string, mode fs.FileMode, key jose.JSONWebKey) error {
	text, err := json.MarshalIndent(key, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if errors.Is(err, fs.ErrExist) {
		return errors.Wrap(ErrExists, path)
	}
	if err != nil {
		return errors.Wrap(err, "create key file")
	}
	if _, err := file.Write(append(text, '\n')); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "write key file")
	}
	return errors.Wrap(file.Close(), "close key file")
}

func readKey(path string, secret bool) (jose.JSONWebKey, error) {
	var key jose.JSONWebKey
	info, err := os.Stat(path)
	if err != nil {
		return key, errors.Wrap(err, "read key file")
	}
	if secret && info.Mode().Perm()&0o077 != 0 {
		return key, errors.Wrap(ErrFileMode, path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return key, errors.Wrap(err, "read key file")
	}
	if err := key.UnmarshalJSON(text); err != nil {
		return key, errors.Wrap(ErrFormat, path)
	}
	// JSONWebKey.Valid doesn't support symmetric keys; ReadSharedKey checks their
	// length.
	if _, shared := key.Key.([]byte); !shared && !key.Valid() {
		return key, errors.Wrap(ErrFormat, path)
	}
	return key, nil
}

// ReadSigningKey reads an operator's private key.
func ReadSigningKey(path string) (*SigningKey, error) {
	key, err := readKey(path, true)
	if err != nil {
		return nil, err
	}
	if _, ok := key.Key.(ed25519.PrivateKey); !ok {
		return nil, errors.Wrap(ErrKeyKind, path)
	}
	return &SigningKey{
		jwk: key,
	}, nil
}

// ReadTrustedKeys reads the public keys of operators.
func ReadTrustedKeys(paths []string) (*TrustedKeys, error) {
	trusted := &TrustedKeys{}
	for _, path := range paths {
		key, err := readKey(path, false)
		if err != nil {
			return nil, err
		}
		if _, ok := key.Key.(ed25519.PublicKey); !ok {
			return nil, errors.Wrap(ErrKeyKind, path)
		}
		trusted.keys = append(trusted.keys, key)
	}
	return trusted, nil
}

// ReadSharedKey reads a shared key.
func ReadSharedKey(path string) (SharedKey, error) {
	key, err := readKey(path, true)
	if err != nil {
		return nil, err
	}
	secret, ok := key.Key.([]byte)
	if !ok || len(secret) < sharedKeyBytes {
		return nil, errors.Wrap(ErrKeyKind, path)
	}
	return secret, nil
}

// Sign returns the compact JSON Web Signature of a document.
func (k *SigningKey) Sign(document []byte) ([]byte, error) {
	return signCompact(jose.EdDSA, k.jwk, document)
}

func signCompact(algorithm jose.SignatureAlgorithm, key any, document []byte) ([]byte, error) {
	signer, err := jose.NewSigner(jose.SigningKey{
		Algorithm: algorithm,
		Key:       key,
	}, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create signer")
	}
	signature, err := signer.Sign(document)
	if err != nil {
		return nil, errors.Wrap(err, "sign")
	}
	text, err := signature.CompactSerialize()
	return []byte(text), errors.Wrap(err, "encode signature")
}

// Verify implements zinniafront.Verifier.
func (t *TrustedKeys) Verify(signed []byte) ([]byte, error) {
	signature, err := jose.ParseSignedCompact(string(signed), []jose.SignatureAlgorithm{jose.EdDSA})
	if err != nil {
		return nil, errors.Wrap(ErrSignature, err.Error())
	}
	for i := range t.keys {
		if document, err := signature.Verify(t.keys[i]); err == nil {
			return document, nil
		}
	}
	return nil, errors.WithStack(ErrSignature)
}

// Sign returns the compact JSON Web Signature of a document.
func (k SharedKey) Sign(document []byte) ([]byte, error) {
	return signCompact(jose.HS256, []byte(k), document)
}

// Verify implements zinniafront.Verifier.
func (k SharedKey) Verify(signed []byte) ([]byte, error) {
	signature, err := jose.ParseSignedCompact(string(signed), []jose.SignatureAlgorithm{jose.HS256})
	if err != nil {
		return nil, errors.Wrap(ErrSignature, err.Error())
	}
	document, err := signature.Verify([]byte(k))
	if err != nil {
		return nil, errors.WithStack(ErrSignature)
	}
	return document, nil
}

// Digest returns the hexadecimal SHA-256 digest that identifies a document. For a signed
// document, it is the digest of the payload.
func Digest(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}
