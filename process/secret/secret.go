// Package secret reads keys and tokens from files and checks callers' tokens.
package secret

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"os"
	"strings"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	minKeyBytes = 16
	// groupAndOtherBits are the permission bits that no file of keys may have.
	groupAndOtherBits = 0o077
)

// ReadKey reads a shared key; surrounding white space does not count.
func ReadKey(file string) ([]byte, error) {
	data, err := readPrivate(file)
	if err != nil {
		return nil, err
	}
	key := bytes.TrimSpace(data)
	if len(key) < minKeyBytes {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "key file %s holds fewer than %d bytes; write a longer random key", file, minKeyBytes)
	}
	return key, nil
}

func readPrivate(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "key file can't be read")
	}
	if info.Mode().Perm()&groupAndOtherBits != 0 {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "key file %s can be read by others; run chmod 600 on it", file)
	}
	return os.ReadFile(file)
}

// CallerToken returns the token by which a caller speaks for the team. It
// proves the team by itself, so that no instance keeps a table of tokens.
func CallerToken(key []byte, team string) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("lilacbridge caller\x00" + team))
	return team + "." + hex.EncodeToString(mac.Sum(nil))
}

// TeamOf returns the team of a caller's token, and whether the token is right.
func TeamOf(key []byte, token string) (string, bool) {
	dot := strings.LastIndexByte(token, '.')
	if dot <= 0 {
		return "", false
	}
	team := token[:dot]
	return team, subtle.ConstantTimeCompare([]byte(token), []byte(CallerToken(key, team))) == 1
}

// Operators are the operators who may give statements, by token.
type Operators struct{ tokens map[string][sha256.Size]byte }

// ReadOperators reads one "name token" a line; lines that begin with # are skipped.
func ReadOperators(file string) (*Operators, error) {
	data, err := readPrivate(file)
	if err != nil {
		return nil, err
	}
	operators := &Operators{tokens: make(map[string][sha256.Size]byte)}
	for number, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 2 || len(fields[1]) < minKeyBytes {
			return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "%s:%d: want a name and a token of at least %d characters", file, number+1, minKeyBytes)
		}
		operators.tokens[fields[0]] = sha256.Sum256([]byte(fields[1]))
	}
	return operators, nil
}

// ByToken returns the operator of a token. It compares with every operator, in a
// time that does not depend on the token.
func (o *Operators) ByToken(token string) (string, bool) {
	digest := sha256.Sum256([]byte(token))
	who := ""
	for name, want := range o.tokens {
		if subtle.ConstantTimeCompare(digest[:], want[:]) == 1 {
			who = name
		}
	}
	return who, who != ""
}
