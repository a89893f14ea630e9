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

// ReadKey reads a shared key without surrounding white space.
func ReadKey(file string) ([]byte, error) {
	data, err := readPrivate(file)
	if err != nil {
		return nil, err
	}
	key := bytes.TrimSpace(data)
	if len(key) < minKeyBytes {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "key file %s has fewer than %d bytes; use a longer random key", file, minKeyBytes)
	}
	return key, nil
}

func readPrivate(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "can't read key file")
	}
	if info.Mode().Perm()&groupAndOtherBits != 0 {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "key file %s is accessible to other users; run chmod 600 on it", file)
	}
	return os.ReadFile(file)
}

// CallerToken returns the token with which callers authenticate as the team. It can be
// verified with the key alone, so that instances need no table of tokens.
func CallerToken(key []byte, team string) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("lilacbridge caller\x00" + team))
	return team + "." + hex.EncodeToString(mac.Sum(nil))
}

// TeamOf returns the team of a caller's token and whether the token is valid. The team
// must not be used if it is not.
func TeamOf(key []byte, token string) (string, bool) {
	dot := strings.LastIndexByte(token, '.')
	if dot <= 0 {
		return "", false
	}
	team := token[:dot]
	return team, subtle.ConstantTimeCompare([]byte(token), []byte(CallerToken(key, team))) == 1
}

// Operators are the operators who may execute statements, by name.
type Operators struct{ tokens map[string][sha256.Size]byte }

// ReadOperators reads one "name token" per line. Lines that begin with # are ignored.
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
			return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "%s:%d: expected a name and a token of at least %d characters", file, number+1, minKeyBytes)
		}
		operators.tokens[fields[0]] = sha256.Sum256([]byte(fields[1]))
	}
	return operators, nil
}

// ByToken returns the name of the operator with the token. It compares with every
// operator, so that its duration does not depend on the token.
func (o *Operators) ByToken(token string) (string, bool) {
	digest := sha256.Sum256([]byte(token))
	operator := ""
	for name, want := range o.tokens {
		if subtle.ConstantTimeCompare(digest[:], want[:]) == 1 {
			operator = name
		}
	}
	return operator, operator != ""
}
